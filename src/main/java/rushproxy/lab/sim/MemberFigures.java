package rushproxy.lab.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rushproxy.fleet.member.Member;

/**
 * What membership costs and how fast it is, by simulation: a fleet comes up, members are killed one by one, and it is
 * noted when the first sees each death, when all do, what is sent, and who was called dead and lived.
 *
 * @param detectMs   from a kill to the first member that holds it dead, for each kill
 * @param agreeMs    from a kill to the last
 * @param falseDeaths members called dead by anybody while they ran
 * @param hours      of simulated time, over which false deaths were counted
 * @param bytesPerS  sent a second and member, IP's and UDP's headers with them, in quiet
 */
public record MemberFigures(
        int members,
        double loss,
        boolean stalls,
        List<Double> detectMs,
        List<Double> agreeMs,
        int falseDeaths,
        double hours,
        double bytesPerS) {
    private static final long SETTLE_US = 30_000_000;
    private static final long SETTLE_EACH_US = 60_000;
    private static final long BETWEEN_US = 20_000_000;
    /** Each member stalls this often on average where there are stalls, for 0.2 to 1.5 s. */
    private static final long STALL_EVERY_US = 60_000_000;

    public static MemberFigures measure(int members, double loss, boolean stalls, int kills, long seed) {
        MemberSim sim = new MemberSim(seed).hosts(members).network(loss, 0.01, 300, 30_000);
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(~seed);
        sim.startAll();
        sim.until(SETTLE_US + members * SETTLE_EACH_US);
        long bytes = sim.nodes().stream().mapToLong(n -> n.bytes).sum();
        long from = sim.us();
        sim.until(from + BETWEEN_US);
        double rate = (sim.nodes().stream().mapToLong(n -> n.bytes).sum() - bytes) / (BETWEEN_US / 1e6) / members;
        if (stalls) {
            stall(sim, random, sim.us() + (kills + 1) * BETWEEN_US);
        }
        int[] falseDeaths = new int[1];
        List<Double> detect = new ArrayList<>();
        List<Double> agree = new ArrayList<>();
        for (int k = 0; k < kills; k++) {
            MemberSim.Node victim = sim.node(random.nextInt(members));
            if (!victim.up()) {
                continue;
            }
            sim.kill(victim);
            long at = sim.us();
            double first = -1;
            double all = -1;
            for (long t = at; t < at + BETWEEN_US && all < 0; t += 20_000) {
                sim.until(t);
                int dead = sim.seenAs(victim, Member.State.DEAD);
                if (dead > 0 && first < 0) {
                    first = (t - at) / 1e3;
                }
                // Who never knew it has nothing to learn.
                if (dead > 0
                        && sim.seenAs(victim, Member.State.ALIVE) + sim.seenAs(victim, Member.State.SUSPECT) == 0) {
                    all = (t - at) / 1e3;
                }
            }
            detect.add(first < 0 ? Double.POSITIVE_INFINITY : first);
            agree.add(all < 0 ? Double.POSITIVE_INFINITY : all);
            falseDeaths[0] += falselyDead(sim);
            sim.until(at + BETWEEN_US);
            falseDeaths[0] += falselyDead(sim);
        }
        return new MemberFigures(members, loss, stalls, detect, agree, falseDeaths[0], (sim.us() - from) / 3.6e9, rate);
    }

    private static void stall(MemberSim sim, UniformRandomProvider random, long untilUs) {
        for (MemberSim.Node n : sim.nodes()) {
            for (long at = sim.us() + random.nextLong(2 * STALL_EVERY_US);
                    at < untilUs;
                    at += random.nextLong(2 * STALL_EVERY_US)) {
                sim.later(at - sim.us(), () -> sim.stall(n, 200_000 + random.nextLong(1_300_000)));
            }
        }
    }

    private static int falselyDead(MemberSim sim) {
        int dead = 0;
        for (MemberSim.Node whom : sim.nodes()) {
            dead += whom.up() && sim.seenAs(whom, Member.State.DEAD) > 0 ? 1 : 0;
        }
        return dead;
    }

    /** The value below which this part of the values lies; 0 where there are none. */
    public static double percentile(List<Double> values, double part) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, Math.floor(part * sorted.size())));
    }

    public String line() {
        return String.format(
                Locale.ROOT,
                "%6d members  loss %2.0f%%  stalls %-3s  detected ms: median %5.0f p99 %5.0f"
                        + "  all agree ms: median %5.0f p99 %5.0f  false deaths %d in %.2f h  %4.0f bytes/s",
                members,
                100 * loss,
                stalls ? "yes" : "no",
                percentile(detectMs, 0.5),
                percentile(detectMs, 0.99),
                percentile(agreeMs, 0.5),
                percentile(agreeMs, 0.99),
                falseDeaths,
                hours,
                bytesPerS);
    }
}
