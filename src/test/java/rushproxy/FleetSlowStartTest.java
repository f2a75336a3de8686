package rushproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import rushproxy.Balancer.DedupScope;
import rushproxy.Balancer.Limits;
import rushproxy.Balancer.ListKind;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.LoadReporting;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Prices;
import rushproxy.Balancer.Request;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Rules;
import rushproxy.Balancer.Semantics;
import rushproxy.Balancer.Settings;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/**
 * Slow start of one server under a fleet of sidecars that don't communicate: what all of them send to it in any window, compared
 * with the budget N of its true capacity plus an allowance for chance of 2 * sqrt(N) + 2. Speeds and work are each sidecar's own
 * estimates from the few answers it sees, and traffic is spread unevenly over the sidecars.
 */
@Timeout(900)
class FleetSlowStartTest {
    private static final long SECOND_US = 1_000_000;
    private static final int SERVERS = 8;
    private static final int CORES = 3;

    /**
     * Result of a simulation: {@code calls} and {@code work} (in calls of mean work) by which the worst window exceeds N + 2 * sqrt(N)
     * + 2, the calls to the cold server, and the fraction of requests served.
     */
    record Result(double calls, double work, int callsToCold, double served) {}

    /** A server that processes one request per core and queues the others. */
    private static final class Server {
        final double speed;
        final long startedUs;
        final ArrayDeque<Call> queue = new ArrayDeque<>();
        int running;

        Server(double speed, long startedUs) {
            this.speed = speed;
            this.startedUs = startedUs;
        }
    }

    private static final class Call {
        final int sidecar;
        final String id;
        final int number;
        final String server;
        final double work;
        final long sentUs;

        Call(int sidecar, String id, int number, String server, double work, long sentUs) {
            this.sidecar = sidecar;
            this.id = id;
            this.number = number;
            this.server = server;
            this.work = work;
            this.sentUs = sentUs;
        }
    }

    private record Event(long atUs, long order, Runnable action) {}

    private static final class Simulation {
        final Random random;
        final int sidecarCount;
        final LoadReporting reports;
        final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.atUs != b.atUs ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
        final List<Policy> fleet = new ArrayList<>();
        final Server[] servers = new Server[SERVERS];
        final Map<String, double[]> requestWork = new java.util.HashMap<>();
        final List<double[]> callsToCold = new ArrayList<>();
        final double coldShare;
        final long rampUs;
        final double overloadMultiple;
        final long windowUs;
        final double[] meanWorkUs = new double[3];
        long now = 100 * SECOND_US;
        long order;
        int requested;
        int served;

        Simulation(long seed, int sidecarCount, LoadReporting reports) {
            random = new Random(seed * 1_000_003 + sidecarCount);
            this.sidecarCount = sidecarCount;
            this.reports = reports;
            coldShare = 0.1 + 0.3 * random.nextDouble();
            rampUs = (long) ((4 + 16 * random.nextDouble()) * SECOND_US);
            overloadMultiple = 3 + random.nextInt(3);
            windowUs = (long) ((0.8 + 1.2 * random.nextDouble()) * SECOND_US);
            List<RequestClass> classes = new ArrayList<>();
            for (int c = 0; c < 3; c++) {
                meanWorkUs[c] = (40 + 80 * random.nextDouble()) * 1_000;
                long aim = (long) (meanWorkUs[c] * (3 + 4 * random.nextDouble()));
                classes.add(new RequestClass(
                        "c" + c, Semantics.SAFE, DedupScope.ALL, 5 * SECOND_US, aim, 0, 4 * aim, 1 + c, 0, false));
            }
            int slow = random.nextInt(2);
            for (int i = 0; i < SERVERS; i++) {
                // Two speeds, and each server deviates somewhat from its kind.
                servers[i] = new Server(
                        (i % 2 == slow ? 0.9 : 1.8) * Math.exp(0.15 * random.nextGaussian()),
                        i == 0 ? now + 4 * SECOND_US : 0);
            }
            for (int index = 0; index < sidecarCount; index++) {
                Settings settings = new Settings(
                        index,
                        sidecarCount,
                        "z",
                        List.of("z"),
                        List.of("k0", "k1"),
                        classes,
                        List.of(),
                        new Limits(3, false, true, false, false, true, SECOND_US, 15 * SECOND_US, 0),
                        new Rules(
                                SECOND_US / 2, coldShare, rampUs, overloadMultiple, windowUs, 10 * SECOND_US, 5_000, 0),
                        reports,
                        false,
                        false,
                        0.1,
                        new Prices(0, 0, 0, 0, 0),
                        1_000);
                int sidecar = index;
                fleet.add(new Policy(settings, random.nextLong(), now, new SimulatedActions(sidecar)));
            }
        }

        void at(long us, Runnable action) {
            events.add(new Event(us, order++, action));
        }

        List<Upstream> upstreams(boolean restarted) {
            List<Upstream> entries = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                if (i > 0 || restarted) {
                    entries.add(
                            new Upstream("s" + i, "z", "k" + i % 2, 0, servers[i].startedUs, 1, UpstreamState.READY));
                }
            }
            return entries;
        }

        double capacity(Server s, long us) {
            double warm = s.startedUs == 0
                    ? 1
                    : coldShare + (1 - coldShare) * Math.max(0, Math.min(1, (us - s.startedUs) / (double) rampUs));
            return CORES * s.speed * warm;
        }

        Result run() {
            double meanUs = (meanWorkUs[0] + meanWorkUs[1] + meanWorkUs[2]) / 3;
            double capacityRate =
                    Arrays.stream(servers).mapToDouble(s -> CORES * s.speed).sum() * 1e6 / meanUs;
            // From low load to an overload that the servers can't handle.
            double arrivalRate = capacityRate * (0.4 + 1.6 * random.nextDouble());
            double[] rateShare = new double[sidecarCount];
            double sum = 0;
            for (int i = 0; i < sidecarCount; i++) {
                rateShare[i] = Math.exp(random.nextGaussian());
                sum += rateShare[i];
            }
            long end = servers[0].startedUs + rampUs + SECOND_US;
            for (int i = 0; i < sidecarCount; i++) {
                int sidecar = i;
                fleet.get(i).onUpstreamList(now, ListKind.FULL, upstreams(false));
                double ownRate = arrivalRate * rateShare[i] / sum / 1e6;
                at(now + nextArrivalUs(ownRate), () -> arriveRequest(sidecar, ownRate, end));
                at(
                        servers[0].startedUs + random.nextInt(100_000),
                        () -> fleet.get(sidecar).onUpstreamList(now, ListKind.FULL, upstreams(true)));
            }
            for (Event event; (event = events.poll()) != null && event.atUs < end; ) {
                now = event.atUs;
                event.action.run();
            }
            return compareWithBudget(meanUs);
        }

        private long nextArrivalUs(double perUs) {
            return 1 + (long) (-Math.log(1 - random.nextDouble()) / perUs);
        }

        private void arriveRequest(int sidecar, double ownRate, long end) {
            at(now + nextArrivalUs(ownRate), () -> arriveRequest(sidecar, ownRate, end));
            int c = random.nextInt(3);
            String id = "r" + requested++;
            double coefficientOfVariation = 0.7;
            double sigma = Math.sqrt(Math.log(1 + coefficientOfVariation * coefficientOfVariation));
            requestWork.put(id, new double[] {
                meanWorkUs[c] * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2), 0
            });
            fleet.get(sidecar)
                    .onRequest(now, new Request(id, -1, false, false, 0, (long) (meanWorkUs[c] * 16), null, "c" + c));
        }

        private void startQueued(Server server) {
            while (server.running < CORES && !server.queue.isEmpty()) {
                Call call = server.queue.poll();
                server.running++;
                double speedPerCore = capacity(server, now) / CORES;
                at(now + 300 + (long) (call.work / speedPerCore), () -> {
                    server.running--;
                    startQueued(server);
                    served++;
                    LoadReport report = reports == LoadReporting.NONE
                            ? null
                            : new LoadReport(server.running + server.queue.size(), server.queue.size(), 0.5);
                    fleet.get(call.sidecar)
                            .onOutcome(
                                    now,
                                    call.id,
                                    call.number,
                                    call.server,
                                    Outcome.OK,
                                    now - call.sentUs,
                                    true,
                                    report);
                });
            }
        }

        private Result compareWithBudget(double meanUs) {
            double worstCalls = Double.NEGATIVE_INFINITY;
            double worstWork = Double.NEGATIVE_INFINITY;
            for (int i = 0; i < callsToCold.size(); i++) {
                double windowStart = callsToCold.get(i)[0];
                double budget = overloadMultiple * capacity(servers[0], (long) windowStart) * windowUs / meanUs;
                double allowed = budget + 2 * Math.sqrt(budget) + 2;
                double work = 0;
                int calls = 0;
                for (int j = i; j < callsToCold.size() && callsToCold.get(j)[0] < windowStart + windowUs; j++) {
                    work += callsToCold.get(j)[1] / meanUs;
                    calls++;
                }
                worstCalls = Math.max(worstCalls, calls - allowed);
                worstWork = Math.max(worstWork, work - allowed);
            }
            return new Result(worstCalls, worstWork, callsToCold.size(), served / (double) Math.max(1, requested));
        }

        private final class SimulatedActions implements Balancer.Actions {
            private final int sidecar;

            SimulatedActions(int sidecar) {
                this.sidecar = sidecar;
            }

            @Override
            public void send(String request, String upstream, long untilUs) {
                Server server = servers[Integer.parseInt(upstream.substring(1))];
                double[] work = requestWork.get(request);
                int number = (int) work[1]++;
                long sentUs = now;
                at(now + 200, () -> {
                    if (server == servers[0]) {
                        callsToCold.add(new double[] {now, work[0]});
                    }
                    server.queue.add(new Call(sidecar, request, number, upstream, work[0], sentUs));
                    startQueued(server);
                });
            }

            @Override
            public void refuse(String request, long retryAfterUs) {}

            @Override
            public void fail(String request) {}

            @Override
            public void cancel(String request, int attempt) {}

            @Override
            public void probe(String upstream) {}

            @Override
            public void subscribe() {}

            @Override
            public void sendToPeer(int peer, byte[] message) {}

            @Override
            public void closeIdleConnections(String upstream) {}

            @Override
            public void startTimer(String mark, long delayUs) {
                at(now + delayUs, () -> fleet.get(sidecar).onTimer(now, mark));
            }

            @Override
            public void log(String text) {}
        }
    }

    /**
     * Seeds by number of sidecars, out of 1,000: the one that came nearest to the bound, and the one that exceeded it most (or came
     * nearest to it) with the cold budget removed from the policy.
     */
    private static final Map<Integer, int[]> HARD_SEEDS = new TreeMap<>(
            Map.of(5, new int[] {1357, 1815}, 20, new int[] {1766, 1983}, 30, new int[] {1652, 1872}, 120, new int[] {
                1040, 1489
            }));

    @Test
    void fleetKeepsWithinTheBudgetOfTheTrueCapacity() {
        HARD_SEEDS.forEach((sidecarCount, seeds) -> {
            for (LoadReporting reports : new LoadReporting[] {LoadReporting.NONE, LoadReporting.INLINE}) {
                for (int seed : seeds) {
                    Result result = new Simulation(seed, sidecarCount, reports).run();
                    assertTrue(result.callsToCold > 0, "no call warms the server");
                    assertTrue(
                            result.calls <= 0 && result.work <= 0,
                            () -> sidecarCount + " sidecars, seed " + seed + ", reports " + reports + ": " + result);
                }
            }
        });
    }

    /** Produces the figures of docs/incidents/acceptance.md: {@code -Dramp.seeds=1000}, from {@code -Dramp.from=1000}. */
    @Test
    @EnabledIfSystemProperty(named = "ramp.seeds", matches = "[0-9]+")
    void figures() {
        int seeds = Integer.getInteger("ramp.seeds");
        int from = Integer.getInteger("ramp.from", 1_000);
        LoadReporting reports = LoadReporting.valueOf(System.getProperty("ramp.reports", "NONE"));
        for (int sidecarCount : HARD_SEEDS.keySet()) {
            double calls = Double.NEGATIVE_INFINITY;
            double work = Double.NEGATIVE_INFINITY;
            int over = 0;
            int worst = 0;
            double sent = 0;
            double served = 0;
            for (int seed = from; seed < from + seeds; seed++) {
                Result result = new Simulation(seed, sidecarCount, reports).run();
                worst = Math.max(result.calls, result.work) > Math.max(calls, work) ? seed : worst;
                calls = Math.max(calls, result.calls);
                work = Math.max(work, result.work);
                over += result.calls > 0 || result.work > 0 ? 1 : 0;
                sent += result.callsToCold;
                served += result.served;
            }
            System.out.printf(
                    Locale.ROOT,
                    "reports %s, %d sidecars, %d seeds: excess %.1f calls, %.1f of mean work, over in %d, "
                            + "worst seed %d, sent %.0f, served %.3f%n",
                    reports,
                    sidecarCount,
                    seeds,
                    calls,
                    work,
                    over,
                    worst,
                    sent / seeds,
                    served / seeds);
        }
    }
}
