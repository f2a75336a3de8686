package rushproxy.lab.sim;

import java.nio.ByteBuffer;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rushproxy.Balancer.LimitScope;
import rushproxy.fleet.shared.FleetLimits;
import rushproxy.fleet.shared.Table;

/** What sharing costs, how fast it is and how far its bounds hold, by simulation. */
public final class SharedFigures {
    /** A write is known to 99 in 100 members after this, up to 10,000 members and 30% loss. */
    public static final long SPREAD_MS = 6_000;

    private static final long S = 1_000_000;

    private SharedFigures() {}

    /**
     * @param ms99     from one member's write until 99 in 100 know it; -1 where they did not within 30 s
     * @param bytes    a second and member in quiet, IP's and UDP's headers with them
     * @param telling  the same over the 5 s after the write
     */
    public record Spread(int members, double loss, long seed, long ms99, long msAll, double bytes, double telling) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d members, loss %.2f, seed %d: 99%% after %d ms, all after %d ms, %.0f B/s in quiet, "
                            + "%.0f B/s while it is told",
                    members,
                    loss,
                    seed,
                    ms99,
                    msAll,
                    bytes,
                    telling);
        }
    }

    public static Spread spread(int members, double loss, long seed) {
        SharedSim sim = new SharedSim(seed, members, 3, loss, 0.01, 30_000);
        sim.startAll();
        sim.until(5 * S);
        long quiet = bytes(sim);
        sim.until(10 * S);
        long from = bytes(sim);
        SharedSim.Node writer = sim.node((int) Math.floorMod(seed, (long) members));
        writer.store()
                .put(
                        writer.clock(),
                        Table.VERDICTS,
                        7,
                        ByteBuffer.allocate(4).putInt(1).array());
        long at = sim.us();
        long most = -1;
        long all = -1;
        long told = 0;
        for (long t = at; t <= at + 30 * S && (all < 0 || t <= at + 5 * S); t += 20_000) {
            sim.until(t);
            long knows = sim.nodes().stream()
                    .filter(n -> n.store().read(n.clock(), Table.VERDICTS, 7, writer.id) != null)
                    .count();
            most = most < 0 && knows >= Math.ceil(0.99 * members) ? (t - at) / 1_000 : most;
            all = all < 0 && knows == members ? (t - at) / 1_000 : all;
            told = t <= at + 5 * S ? bytes(sim) : told;
            // It is renewed as a sidecar does.
            if (t > at && (t - at) % (5 * S) == 0) {
                writer.store()
                        .put(
                                writer.clock(),
                                Table.VERDICTS,
                                7,
                                ByteBuffer.allocate(4).putInt(1).array());
            }
        }
        return new Spread(
                members, loss, seed, most, all, (from - quiet) / 5.0 / members, (told - from) / 5.0 / members);
    }

    private static long bytes(SharedSim sim) {
        return sim.nodes().stream().mapToLong(n -> n.bytes).sum();
    }

    /**
     * A limit under a demand of which one in ten members asks ten times as much as the others, and others every 20 s; the demand is
     * the limit altogether, so nothing needs to be unused.
     *
     * @param most   the largest sum of all shares over the limit, over every moment
     * @param unused part of the demand for which no share was held, from 5 s after each move on
     * @param moving the same over the first 5 s after a move
     * @param bytes  a second and member, all that is shared
     */
    public record Limited(
            int members,
            double loss,
            String event,
            long seed,
            double most,
            double unused,
            double moving,
            double bytes) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d members, loss %.2f, %s, seed %d: at most %.4f of the limit, unmet %.1f%% settled and "
                            + "%.1f%% in the 5 s after a move, %.0f B/s",
                    members,
                    loss,
                    event,
                    seed,
                    most,
                    100 * unused,
                    100 * moving,
                    bytes);
        }
    }

    /** {@code event} is calm, split (in halves, from 30 to 60 s) or restart (seven in ten at 40 s, all at once, back 0.1 s later). */
    public static Limited limited(int members, double loss, String event, long seed) {
        double limit = 1_000;
        SharedSim sim = new SharedSim(seed, members, 3, loss, 0.02, 30_000)
                .limits(new FleetLimits.Limit("all", LimitScope.ALL, "", false, limit));
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(~seed);
        sim.startAll();
        double[] demand = new double[members];
        double[] most = new double[1];
        double[] sums = new double[4];
        long end = 80 * S;
        for (long t = 0; t < end; t += 100_000) {
            if (t % (20 * S) == 0) {
                int hot = Math.max(1, members / 10);
                double unit = limit / (members - hot + 10.0 * hot);
                java.util.Arrays.fill(demand, unit);
                for (int left = hot; left > 0; ) {
                    int i = random.nextInt(members);
                    left -= demand[i] == unit ? 1 : 0;
                    demand[i] = 10 * unit;
                }
            }
            if (event.equals("split") && t == 30 * S) {
                sim.cut((a, b) -> a % 2 != b % 2);
            } else if (event.equals("split") && t == 60 * S) {
                sim.cut((a, b) -> false);
            } else if (event.equals("restart") && t == 40 * S) {
                for (SharedSim.Node n : sim.nodes()) {
                    if (n.number % 10 < 7) {
                        sim.kill(n);
                        sim.later(100_000, () -> sim.start(n));
                    }
                }
            }
            sim.until(t);
            double shares = 0;
            double unmet = 0;
            for (SharedSim.Node n : sim.nodes()) {
                if (!n.up()) {
                    continue;
                }
                if (t % FleetLimits.TICK_INTERVAL_US == 0) {
                    n.limits().recordDemand(n.clock(), "all", demand[n.number]);
                }
                double share = n.limits().shares(n.clock(), S).get(0).share();
                shares += share;
                unmet += Math.max(0, demand[n.number] - share);
            }
            most[0] = Math.max(most[0], shares / limit);
            int moving = t % (20 * S) < 5 * S ? 0 : 2;
            sums[moving] += unmet;
            sums[moving + 1] += limit;
        }
        return new Limited(
                members,
                loss,
                event,
                seed,
                most[0],
                sums[2] / sums[3],
                sums[0] / sums[1],
                bytes(sim) / (end / 1e6) / members);
    }

    /** The tables of docs/SHARED.md: {@code spread} or {@code limits}, then the sizes. */
    public static void main(String[] args) {
        for (int i = 1; i < args.length; i++) {
            int members = Integer.parseInt(args[i]);
            for (double loss : new double[] {0, 0.1, 0.3}) {
                for (long seed = 1; seed <= 3; seed++) {
                    if (args[0].equals("spread")) {
                        System.out.println(spread(members, loss, seed));
                    } else {
                        for (String event : new String[] {"calm", "split", "restart"}) {
                            System.out.println(limited(members, loss, event, seed));
                        }
                    }
                }
            }
        }
    }
}
