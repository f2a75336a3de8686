package rushproxy.lab.world;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.PermutationSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import rushproxy.lab.scenario.Scenario;

/** Generates the first attempts of a run in advance: an open-loop workload, which does not wait for responses. */
final class Traffic {
    /** One logical request. Its id and those of its attempts, {@code id} with a hexadecimal suffix, depend only on the seed. */
    record Arrival(long atUs, int node, Scenario.RequestClass spec, long key, double workMs, String id) {}

    private Traffic() {}

    /** Generates at most {@code maxArrivals} Poisson arrivals over the run, ordered by time. */
    static List<Arrival> generate(Scenario scenario, UniformRandomProvider random, int maxArrivals) {
        Scenario.Traffic t = scenario.traffic();
        double peak = t.ratePerS()
                * t.bursts().stream().mapToDouble(Scenario.Burst::factor).reduce(1, Math::max);
        double[] nodes = cumulativeSums(skewedWeights(scenario.fleet().nodes(), t.skew(), random));
        double[] classes = cumulativeSums(scenario.classes().stream()
                .mapToDouble(Scenario.RequestClass::share)
                .toArray());
        List<SharedStateContinuousSampler> work = scenario.classes().stream()
                .map(c -> (SharedStateContinuousSampler)
                        // The mean of a log-normal is exp(mu + sigma^2 / 2): mu is chosen so that the mean is work_ms.
                        LogNormalSampler.of(
                                ZigguratSampler.NormalizedGaussian.of(random),
                                Math.log(c.workMs()) - c.workSpread() * c.workSpread() / 2,
                                Math.max(1e-9, c.workSpread())))
                .toList();
        DiscreteSampler keys = RejectionInversionZipfSampler.of(random, t.keys(), t.zipf());
        ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);
        List<Arrival> arrivals = new ArrayList<>();
        for (double at = 0; arrivals.size() < maxArrivals; ) {
            at += gaps.sample() / peak * 1e6;
            if (at >= scenario.lengthUs()) {
                break;
            }
            // Thinning: drawn at the peak rate, kept with the ratio of the current rate to it.
            if (random.nextDouble() * peak < rateAt(t, (long) at)) {
                int c = sampleIndex(classes, random.nextDouble());
                arrivals.add(new Arrival(
                        (long) at,
                        sampleIndex(nodes, random.nextDouble()),
                        scenario.classes().get(c),
                        keys.sample(),
                        work.get(c).sample(),
                        String.format("%015x", random.nextLong() >>> 4)));
            }
        }
        return arrivals;
    }

    private static double rateAt(Scenario.Traffic t, long atUs) {
        double rate = t.ratePerS() * (atUs < t.rampUs() ? (double) atUs / t.rampUs() : 1);
        for (Scenario.Burst b : t.bursts()) {
            if (atUs >= b.atUs() && atUs < b.atUs() + b.forUs()) {
                rate *= b.factor();
            }
        }
        return rate;
    }

    private static double[] skewedWeights(int n, double skew, UniformRandomProvider random) {
        int[] rank = PermutationSampler.natural(n);
        PermutationSampler.shuffle(random, rank);
        double[] weights = new double[n];
        for (int i = 0; i < n; i++) {
            weights[i] = Math.pow(rank[i] + 1, -skew);
        }
        return weights;
    }

    private static double[] cumulativeSums(double[] weights) {
        double[] sums = weights.clone();
        for (int i = 1; i < sums.length; i++) {
            sums[i] += sums[i - 1];
        }
        return sums;
    }

    private static int sampleIndex(double[] sums, double x) {
        int i = java.util.Arrays.binarySearch(sums, x * sums[sums.length - 1]);
        return Math.min(sums.length - 1, i < 0 ? -i - 1 : i + 1);
    }
}
