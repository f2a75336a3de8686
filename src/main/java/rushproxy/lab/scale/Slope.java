package rushproxy.lab.scale;

import java.util.List;

/**
 * How a figure grows with the fleet: the power law through its measured values, value = factor * members ^ exponent, by least
 * squares over the logarithms. An exponent near 0 says that the figure is flat, near 1 that it grows with the fleet.
 *
 * @param largest the largest fleet that was measured
 * @param error   the worst measured value over what the law says there, or the other way round, less 1
 */
record Slope(double factor, double exponent, int largest, double error) {
    record Point(int members, double value) {}

    /** Null where fewer than two sizes have a value above 0. */
    static Slope through(List<Point> points) {
        List<Point> used = points.stream().filter(p -> p.value > 0).toList();
        if (used.stream().map(Point::members).distinct().count() < 2) {
            return null;
        }
        double meanX =
                used.stream().mapToDouble(p -> Math.log(p.members)).average().orElseThrow();
        double meanY =
                used.stream().mapToDouble(p -> Math.log(p.value)).average().orElseThrow();
        double covariance = used.stream()
                .mapToDouble(p -> (Math.log(p.members) - meanX) * (Math.log(p.value) - meanY))
                .sum();
        double variance = used.stream()
                .mapToDouble(p -> Math.pow(Math.log(p.members) - meanX, 2))
                .sum();
        double exponent = covariance / variance;
        Slope law = new Slope(
                Math.exp(meanY - exponent * meanX),
                exponent,
                used.stream().mapToInt(Point::members).max().orElseThrow(),
                0);
        double error = used.stream()
                .mapToDouble(p -> Math.max(law.at(p.members) / p.value, p.value / law.at(p.members)) - 1)
                .max()
                .orElseThrow();
        return new Slope(law.factor, exponent, law.largest, error);
    }

    double at(double members) {
        return factor * Math.pow(members, exponent);
    }

    /** The fleet at which the law reaches the budget; infinite where it falls or never does. */
    double reaches(double budget) {
        return exponent <= 0 ? at(1) > budget ? 1 : Double.POSITIVE_INFINITY : Math.pow(budget / factor, 1 / exponent);
    }
}
