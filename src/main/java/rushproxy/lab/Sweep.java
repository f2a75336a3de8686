package rushproxy.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * Figures of the same scenario under several variants on the same seeds, and what they show: medians, spread, and for
 * each variant the mean of its paired differences to the first with Student's interval. Pairs share a seed, so what one
 * seed makes harder for all does not count.
 */
public final class Sweep {
    private static final double CONFIDENCE = 0.95;

    /** Least, median and greatest. */
    public record Spread(double least, double median, double greatest) {}

    /** {@code low} to {@code high} holds the true mean difference with 95%; {@code shown}: 0 lies outside. */
    public record Difference(double mean, double low, double high, boolean shown) {
        public String words() {
            return String.format(
                    Locale.ROOT,
                    "%+.4f (95%%: %+.4f to %+.4f)%s",
                    mean,
                    low,
                    high,
                    shown ? "" : "  no difference shown");
        }
    }

    private Sweep() {}

    public static Spread spread(List<Double> values) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        int n = sorted.length;
        return new Spread(
                sorted[0], n % 2 == 1 ? sorted[n / 2] : (sorted[n / 2 - 1] + sorted[n / 2]) / 2, sorted[n - 1]);
    }

    /** Of {@code with} to {@code without}, pair by pair. With fewer than two pairs nothing is shown. */
    public static Difference difference(List<Double> with, List<Double> without) {
        int n = Math.min(with.size(), without.size());
        List<Double> differences = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            differences.add(with.get(i) - without.get(i));
        }
        double mean =
                differences.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        if (n < 2) {
            return new Difference(mean, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, false);
        }
        double variance =
                differences.stream().mapToDouble(d -> (d - mean) * (d - mean)).sum() / (n - 1);
        double half =
                TDistribution.of(n - 1).inverseCumulativeProbability((1 + CONFIDENCE) / 2) * Math.sqrt(variance / n);
        return new Difference(mean, mean - half, mean + half, Math.abs(mean) > half);
    }

    /** "3", "1-5" or "1,4,9-12". Throws where it is none of these, or names more than a thousand. */
    public static List<Long> seeds(String text) {
        List<Long> seeds = new ArrayList<>();
        for (String part : text.split(",")) {
            if (!part.matches("[0-9]{1,15}(-[0-9]{1,15})?")) {
                throw new IllegalArgumentException("'" + part + "' is neither a seed nor a range of seeds");
            }
            long[] ends =
                    Arrays.stream(part.split("-")).mapToLong(Long::parseLong).toArray();
            if (ends[ends.length - 1] - ends[0] > 1_000 || ends[ends.length - 1] < ends[0]) {
                throw new IllegalArgumentException("'" + part + "' is no range of at most a thousand seeds");
            }
            for (long s = ends[0]; s <= ends[ends.length - 1]; s++) {
                seeds.add(s);
            }
        }
        return seeds;
    }
}
