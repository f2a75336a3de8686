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
final class Estimates {
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 5;

    final double[] slowness;
    final double[] bestSlowness;
    final double[] cores;
    /** Behind each kind's estimates, 255 at most. */
    final double[] answers;
    /** Of each class, in microseconds of a standard core. */
    final double[] classWorkUs;
    /** Mean rate a second of the fleet's sidecars, apart by zone. */
    final double[] zoneRates;

    double meanWorkUs;
    double congestion;
    private final int settingsHash;

    Estimates(Settings s) {
        slowness = new double[s.kinds().size()];
        bestSlowness = new double[slowness.length];
        cores = new double[slowness.length];
        answers = new double[slowness.length];
        classWorkUs = new double[s.classes().size()];
        zoneRates = new double[s.zones().size()];
        settingsHash = List.of(
                        s.zones(),
                        s.kinds(),
                        s.classes().stream().map(Balancer.RequestClass::name).toList())
                .hashCode();
    }

    private List<double[]> columns() {
        return List.of(slowness, bestSlowness, cores, answers, classWorkUs, zoneRates);
    }

    /** The estimates of kind {@code i}, with {@code most} answers behind them at most. */
    void copyFrom(int i, PolicyState.ServerKind kind, int most) {
        slowness[i] = kind.slowness;
        bestSlowness[i] = kind.bestSlowness;
        cores[i] = kind.cores;
        answers[i] = Math.min(most, kind.answers);
    }

    /** Makes them the kind's own; none is so small that nothing could come of it. */
    void copyTo(int i, PolicyState.ServerKind kind) {
        kind.slowness = Math.max(1e-2, slowness[i]);
        kind.bestSlowness = Math.max(1e-2, bestSlowness[i]);
        kind.cores = Math.max(1, cores[i]);
        kind.answers = (int) answers[i];
    }

    byte[] encode() {
        int values = columns().stream().mapToInt(c -> c.length).sum() + 2;
        ByteBuffer b =
                ByteBuffer.allocate(HEADER_BYTES + 4 * values).put(VERSION).putInt(settingsHash);
        for (double[] column : columns()) {
            for (double v : column) {
                b.putFloat((float) v);
            }
        }
        return b.putFloat((float) meanWorkUs).putFloat((float) congestion).array();
    }

    /** False where the bytes are none of this version and shape, or hold what no estimate can be; nothing is to be taken then. */
    boolean decode(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (bytes.length != encode().length || b.get() != VERSION || b.getInt() != settingsHash) {
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
        meanWorkUs = b.getFloat();
        congestion = b.getFloat();
        return meanWorkUs > 0 && meanWorkUs < 1e9 && congestion > 0 && congestion < 1e3;
    }

    /** Of each value the middle one of all that can be read: one that lies moves nothing by itself among three. Null for none. */
    static Estimates median(Settings settings, List<byte[]> told) {
        List<Estimates> all = new ArrayList<>();
        for (byte[] bytes : told) {
            Estimates k = new Estimates(settings);
            if (k.decode(bytes)) {
                all.add(k);
            }
        }
        if (all.isEmpty()) {
            return null;
        }
        Estimates middle = new Estimates(settings);
        median(all, middle, k -> k.slowness);
        median(all, middle, k -> k.bestSlowness);
        median(all, middle, k -> k.cores);
        median(all, middle, k -> k.answers);
        median(all, middle, k -> k.classWorkUs);
        median(all, middle, k -> k.zoneRates);
        middle.meanWorkUs = median(all, k -> k.meanWorkUs);
        middle.congestion = median(all, k -> k.congestion);
        return middle;
    }

    private static void median(List<Estimates> all, Estimates into, Function<Estimates, double[]> column) {
        for (int i = 0; i < column.apply(into).length; i++) {
            int at = i;
            column.apply(into)[i] = median(all, k -> column.apply(k)[at]);
        }
    }

    private static double median(List<Estimates> all, ToDoubleFunction<Estimates> value) {
        double[] sorted = all.stream().mapToDouble(value).sorted().toArray();
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }
}
