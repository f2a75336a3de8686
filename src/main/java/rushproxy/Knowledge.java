package rushproxy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import rushproxy.Balancer.Settings;

/**
 * What one sidecar's estimates are, for another that has just started: plain data and its bytes, used by {@link Policy}. Only
 * between sidecars of the same zones, kinds and classes.
 */
final class Knowledge {
    private static final byte VERSION = 1;
    private static final int HEAD = 5;

    final double[] slow;
    final double[] least;
    final double[] cores;
    /** Behind each kind's estimates, 255 at most. */
    final double[] answers;
    /** Of each class, in microseconds of a standard core. */
    final double[] work;
    /** Mean rate a second of the fleet's sidecars, apart by zone. */
    final double[] rates;

    double meanWork;
    double crowding;
    private final int shape;

    Knowledge(Settings s) {
        slow = new double[s.kinds().size()];
        least = new double[slow.length];
        cores = new double[slow.length];
        answers = new double[slow.length];
        work = new double[s.classes().size()];
        rates = new double[s.zones().size()];
        shape = List.of(
                        s.zones(),
                        s.kinds(),
                        s.classes().stream().map(Balancer.RequestClass::name).toList())
                .hashCode();
    }

    private List<double[]> columns() {
        return List.of(slow, least, cores, answers, work, rates);
    }

    /** The estimates of kind {@code i}, with {@code most} answers behind them at most. */
    void of(int i, State.Kind kind, int most) {
        slow[i] = kind.slow;
        least[i] = kind.least;
        cores[i] = kind.cores;
        answers[i] = Math.min(most, kind.answers);
    }

    /** Makes them the kind's own; none is so small that nothing could come of it. */
    void into(int i, State.Kind kind) {
        kind.slow = Math.max(1e-2, slow[i]);
        kind.least = Math.max(1e-2, least[i]);
        kind.cores = Math.max(1, cores[i]);
        kind.answers = (int) answers[i];
    }

    byte[] bytes() {
        int values = columns().stream().mapToInt(c -> c.length).sum() + 2;
        ByteBuffer b = ByteBuffer.allocate(HEAD + 4 * values).put(VERSION).putInt(shape);
        for (double[] column : columns()) {
            for (double v : column) {
                b.putFloat((float) v);
            }
        }
        return b.putFloat((float) meanWork).putFloat((float) crowding).array();
    }

    /** False where the bytes are none of this version and shape, or hold what no estimate can be; nothing is to be taken then. */
    boolean read(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (bytes.length != bytes().length || b.get() != VERSION || b.getInt() != shape) {
            return false;
        }
        for (double[] column : columns()) {
            for (int i = 0; i < column.length; i++) {
                column[i] = b.getFloat();
                if (!(column[i] >= 0 && column[i] < 1e9)) {
                    return false;
                }
            }
        }
        meanWork = b.getFloat();
        crowding = b.getFloat();
        return meanWork > 0 && meanWork < 1e9 && crowding > 0 && crowding < 1e3;
    }

    /** Of each value the middle one of all that can be read: one that lies moves nothing by itself among three. Null for none. */
    static Knowledge middle(Settings settings, List<byte[]> told) {
        List<Knowledge> all = new ArrayList<>();
        for (byte[] bytes : told) {
            Knowledge k = new Knowledge(settings);
            if (k.read(bytes)) {
                all.add(k);
            }
        }
        if (all.isEmpty()) {
            return null;
        }
        Knowledge middle = new Knowledge(settings);
        middle(all, middle, k -> k.slow);
        middle(all, middle, k -> k.least);
        middle(all, middle, k -> k.cores);
        middle(all, middle, k -> k.answers);
        middle(all, middle, k -> k.work);
        middle(all, middle, k -> k.rates);
        middle.meanWork = middle(all, k -> k.meanWork);
        middle.crowding = middle(all, k -> k.crowding);
        return middle;
    }

    private static void middle(List<Knowledge> all, Knowledge into, Function<Knowledge, double[]> column) {
        for (int i = 0; i < column.apply(into).length; i++) {
            int at = i;
            column.apply(into)[i] = middle(all, k -> column.apply(k)[at]);
        }
    }

    private static double middle(List<Knowledge> all, ToDoubleFunction<Knowledge> value) {
        double[] sorted = all.stream().mapToDouble(value).sorted().toArray();
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }
}
