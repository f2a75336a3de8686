package rushproxy.lab.scale;

import org.HdrHistogram.Histogram;

/** How the values of a figure lie: whole numbers, in the figure's own unit, to three digits. */
public record Spread(long count, double mean, long p50, long p99, long most) {
    static Spread of(Histogram values) {
        return new Spread(
                values.getTotalCount(),
                values.getTotalCount() == 0 ? 0 : values.getMean(),
                values.getValueAtPercentile(50),
                values.getValueAtPercentile(99),
                values.getMaxValue());
    }

    static Histogram histogram() {
        return new Histogram(3);
    }
}
