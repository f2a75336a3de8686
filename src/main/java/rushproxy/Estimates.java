package rushproxy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import rushproxy.Balancer.Settings;

/**
 * A sidecar's estimates and their encoding, with which {@link Policy} initialises another sidecar that has just started. Both need
 * the same zones, kinds and classes.
 */
final class Estimates {
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 5;

    final double[] slowness;
    final double[] bestSlowness;
    final double[] cores;
    /** Number of answers that each kind's estimates are based on. */
    final double[] answers;
    /** Mean work by request class, in microseconds on a standard core. */
    final double[] classWorkUs;
    /** Average requests per second of a sidecar, split by the sidecar's zone. */
    final double[] zoneRates;

    double meanWorkUs;
    double congestion;
    /** Hash of the zones, kinds and class names: estimates with another one can't be used. */
    private final int settingsHash;

    Estimates(Settings settings) {
        slowness = new double[settings.kinds().size()];
        bestSlowness = new double[slowness.length];
        cores = new double[slowness.length];
        answers = new double[slowness.length];
        classWorkUs = new double[settings.classes().size()];
        zoneRates = new double[settings.zones().size()];
        settingsHash = List.of(
                        settings.zones(),
                        settings.kinds(),
                        settings.classes().stream()
                                .map(Balancer.RequestClass::name)
                                .toList())
                .hashCode();
    }

    private List<double[]> columns() {
        return List.of(slowness, bestSlowness, cores, answers, classWorkUs, zoneRates);
    }

    /** Takes the estimates of kind {@code i}, counting at most {@code maxAnswers} answers. */
    void copyFrom(int i, PolicyState.ServerKind kind, int maxAnswers) {
        slowness[i] = kind.slowness;
        bestSlowness[i] = kind.bestSlowness;
        cores[i] = kind.cores;
        answers[i] = Math.min(maxAnswers, kind.answers);
    }

    /** Sets the estimates of kind {@code i}, with lower bounds that keep the computed shares and loads finite. */
    void copyTo(int i, PolicyState.ServerKind kind) {
        kind.slowness = Math.max(1e-2, slowness[i]);
        kind.bestSlowness = Math.max(1e-2, bestSlowness[i]);
        kind.cores = Math.max(1, cores[i]);
        kind.answers = (int) answers[i];
    }

    byte[] encode() {
        int values = columns().stream().mapToInt(c -> c.length).sum() + 2;
        ByteBuffer buffer =
                ByteBuffer.allocate(HEADER_BYTES + 4 * values).put(VERSION).putInt(settingsHash);
        for (double[] column : columns()) {
            for (double value : column) {
                buffer.putFloat((float) value);
            }
        }
        return buffer.putFloat((float) meanWorkUs).putFloat((float) congestion).array();
    }

    /** Returns false, leaving the fields undefined, if version, length or settings differ or a value is out of range. */
    boolean decode(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (bytes.length != encode().length || buffer.get() != VERSION || buffer.getInt() != settingsHash) {
            return false;
        }
        for (double[] column : columns()) {
            for (int i = 0; i < column.length; i++) {
                column[i] = buffer.getFloat();
                if (!(column[i] >= 0 && column[i] < 1e9)) {
                    return false;
                }
            }
        }
        meanWorkUs = buffer.getFloat();
        congestion = buffer.getFloat();
        return meanWorkUs > 0 && meanWorkUs < 1e9 && congestion > 0 && congestion < 1e3;
    }

    /** Median of each value over the exports that can be decoded, so that one false export among three has no effect. Null if there are none. */
    static Estimates median(Settings settings, List<byte[]> exports) {
        List<Estimates> all = new ArrayList<>();
        for (byte[] bytes : exports) {
            Estimates estimates = new Estimates(settings);
            if (estimates.decode(bytes)) {
                all.add(estimates);
            }
        }
        if (all.isEmpty()) {
            return null;
        }
        Estimates median = new Estimates(settings);
        setMedian(all, median, e -> e.slowness);
        setMedian(all, median, e -> e.bestSlowness);
        setMedian(all, median, e -> e.cores);
        setMedian(all, median, e -> e.answers);
        setMedian(all, median, e -> e.classWorkUs);
        setMedian(all, median, e -> e.zoneRates);
        median.meanWorkUs = median(all, e -> e.meanWorkUs);
        median.congestion = median(all, e -> e.congestion);
        return median;
    }

    private static void setMedian(List<Estimates> all, Estimates target, Function<Estimates, double[]> column) {
        for (int i = 0; i < column.apply(target).length; i++) {
            int index = i;
            column.apply(target)[i] = median(all, e -> column.apply(e)[index]);
        }
    }

    private static double median(List<Estimates> all, ToDoubleFunction<Estimates> value) {
        double[] sorted = all.stream().mapToDouble(value).sorted().toArray();
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }
}
