package rushproxy.lab.sim;

import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rushproxy.fleet.release.Gate;
import rushproxy.fleet.release.Tally;

/**
 * How a stage's gate judges releases that are drawn: good ones, which it should let on, and bad ones, which it should halt early. Requests
 * are drawn one by one, over strata of classes and zones with rates and latencies of their own, in batches of a second.
 */
public final class GateFigures {
    private static final int STRATA = 6;
    private static final long S = 1_000_000;

    /**
     * What the new servers are: {@code errors} more of all answers fail, good ones take {@code slower} times as long; in one stratum alone
     * where {@code oneStratum}, from {@code fromS} on. {@code shared}: faults hit both groups at times.
     */
    public record Release(double errors, double slower, boolean oneStratum, double fromS, boolean shared) {
        public static final Release GOOD = new Release(0, 1, false, 0, true);
    }

    /**
     * One stage of one release.
     *
     * @param afterS when the verdict fell
     * @param spoilt answers of the new servers that a good release would not have spoilt, until then
     */
    public record Judged(Gate.Verdict verdict, double afterS, double spoilt) {}

    private GateFigures() {}

    /** {@code rate} of all requests a second, of which the new servers get the part {@code weight}. */
    public static Judged judge(Release release, double rate, double weight, Gate.Criteria rule, long seed) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        double[] part = new double[STRATA];
        double[] medianUs = new double[STRATA];
        double[] fails = new double[STRATA];
        double sum = 0;
        for (int i = 0; i < STRATA; i++) {
            part[i] = 0.2 + random.nextDouble();
            sum += part[i];
            medianUs[i] = 10_000 * Math.exp(1.5 * random.nextDouble());
            fails[i] = 0.03 * random.nextDouble() * random.nextDouble();
        }
        Gate gate = new Gate(rule);
        double spoilt = 0;
        double shared = 1;
        double more = 0;
        for (int second = 0; ; second++) {
            if (release.shared && random.nextDouble() < 0.05) {
                // A fault of both, or its end.
                boolean on = random.nextBoolean();
                shared = on ? 1 + 2 * random.nextDouble() : 1;
                more = on ? 0.2 * random.nextDouble() : 0;
            }
            for (int i = 0; i < STRATA; i++) {
                Tally fresh = new Tally();
                Tally control = new Tally();
                boolean bad = second >= release.fromS && (!release.oneStratum || i == 0);
                long requests = Math.round(rate * part[i] / sum + random.nextDouble() - 0.5);
                for (long n = 0; n < requests; n++) {
                    boolean isNew = random.nextDouble() < weight;
                    double extra = isNew && bad ? release.errors : 0;
                    boolean failed = random.nextDouble() < Math.min(1, fails[i] + more + extra);
                    double slower = isNew && bad ? release.slower : 1;
                    Tally t = isNew ? fresh : control;
                    if (failed) {
                        t.addFailure();
                    } else {
                        t.addSuccess((long) (medianUs[i] * shared * slower * Math.exp(0.5 * gauss(random))));
                    }
                    spoilt += extra + (isNew && bad && release.slower > 1.4 ? 1 : 0);
                }
                gate.addBatch("s" + i, fresh, control);
            }
            Gate.Decision ruling = gate.decide(second * S);
            if (ruling.verdict() != Gate.Verdict.WAIT) {
                return new Judged(ruling.verdict(), second, spoilt);
            }
        }
    }

    /** Marsaglia's polar method; one of the pair is enough here. */
    private static double gauss(UniformRandomProvider random) {
        for (; ; ) {
            double x = 2 * random.nextDouble() - 1;
            double y = 2 * random.nextDouble() - 1;
            double r = x * x + y * y;
            if (r < 1 && r > 0) {
                return x * Math.sqrt(-2 * Math.log(r) / r);
            }
        }
    }

    /** Over seeds: how many went on, were halted or taken back, and after how long in the median. */
    public static String row(String what, Release release, double rate, double weight, Gate.Criteria rule, int seeds) {
        int on = 0;
        int halted = 0;
        int back = 0;
        double spoilt = 0;
        double[] after = new double[seeds];
        for (int seed = 1; seed <= seeds; seed++) {
            Judged j = judge(release, rate, weight, rule, seed);
            on += j.verdict == Gate.Verdict.ON ? 1 : 0;
            halted += j.verdict == Gate.Verdict.HALT ? 1 : 0;
            back += j.verdict == Gate.Verdict.BACK ? 1 : 0;
            spoilt += j.spoilt / seeds;
            after[seed - 1] = j.afterS;
        }
        java.util.Arrays.sort(after);
        return String.format(
                Locale.ROOT,
                "| %s | %.0f | %.0f%% | %d | %d | %d | %.0f s | %.1f |",
                what,
                rate,
                100 * weight,
                on,
                halted,
                back,
                after[seeds / 2],
                spoilt);
    }

    /** The table of docs/RELEASES.md. */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        Gate.Criteria rule = Gate.Criteria.DEFAULT;
        System.out.println(
                "| release | requests a second | weight | on | halted | back | median | spoilt answers until then |");
        for (double rate : new double[] {50, 500}) {
            for (double weight : new double[] {0.05, 0.2}) {
                System.out.println(row("good, with faults of both", Release.GOOD, rate, weight, rule, 4 * seeds));
                for (double errors : new double[] {0.01, 0.05, 0.2}) {
                    System.out.println(row(
                            String.format(Locale.ROOT, "%.0f%% more errors", 100 * errors),
                            new Release(errors, 1, false, 0, true),
                            rate,
                            weight,
                            rule,
                            seeds));
                }
                for (double slower : new double[] {1.2, 1.5, 3}) {
                    System.out.println(row(
                            slower + " times slower",
                            new Release(0, slower, false, 0, true),
                            rate,
                            weight,
                            rule,
                            seeds));
                }
                System.out.println(row(
                        "20% more errors in one stratum of six",
                        new Release(0.2, 1, true, 0, true), rate, weight, rule, seeds));
            }
        }
    }
}
