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
 * The slow start of one server under a whole fleet of sidecars that say no word to each other: what all of them send to it in any
 * window against the budget N that its true capacity allows, and 2 x root of N + 2 put down to chance. Speeds and costs are each
 * sidecar's own estimates, from the few answers it sees; traffic is skewed.
 */
@Timeout(900)
class FleetSlowStartTest {
    private static final long S = 1_000_000;
    private static final int SERVERS = 8;
    private static final int CORES = 3;

    /** What a play found. Excess: calls, and work in calls of the mean, beyond N + 2 x root of N + 2 in the worst window. */
    record Found(double calls, double work, int toCold, double served) {}

    /** A server: as many requests at once as it has cores, the others in turn. */
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

    private record Event(long atUs, long order, Runnable happens) {}

    private static final class Play {
        final Random random;
        final int n;
        final LoadReporting reports;
        final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.atUs != b.atUs ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
        final List<Policy> fleet = new ArrayList<>();
        final Server[] servers = new Server[SERVERS];
        final java.util.Map<String, double[]> works = new java.util.HashMap<>();
        final List<double[]> toCold = new ArrayList<>();
        final double cold;
        final long rampUs;
        final double multiple;
        final long windowUs;
        final double[] means = new double[3];
        long now = 100 * S;
        long order;
        int asked;
        int served;

        Play(long seed, int n, LoadReporting reports) {
            random = new Random(seed * 1_000_003 + n);
            this.n = n;
            this.reports = reports;
            cold = 0.1 + 0.3 * random.nextDouble();
            rampUs = (long) ((4 + 16 * random.nextDouble()) * S);
            multiple = 3 + random.nextInt(3);
            windowUs = (long) ((0.8 + 1.2 * random.nextDouble()) * S);
            List<RequestClass> classes = new ArrayList<>();
            for (int c = 0; c < 3; c++) {
                means[c] = (40 + 80 * random.nextDouble()) * 1_000;
                long aim = (long) (means[c] * (3 + 4 * random.nextDouble()));
                classes.add(new RequestClass(
                        "c" + c, Semantics.SAFE, DedupScope.ALL, 5 * S, aim, 0, 4 * aim, 1 + c, 0, false));
            }
            int slow = random.nextInt(2);
            for (int i = 0; i < SERVERS; i++) {
                // Two speeds, and each server somewhat off its kind.
                servers[i] = new Server(
                        (i % 2 == slow ? 0.9 : 1.8) * Math.exp(0.15 * random.nextGaussian()), i == 0 ? now + 4 * S : 0);
            }
            for (int me = 0; me < n; me++) {
                Settings settings = new Settings(
                        me,
                        n,
                        "z",
                        List.of("z"),
                        List.of("k0", "k1"),
                        classes,
                        List.of(),
                        new Limits(3, false, true, false, false, true, S, 15 * S, 0),
                        new Rules(S / 2, cold, rampUs, multiple, windowUs, 10 * S, 5_000, 0),
                        reports,
                        false,
                        false,
                        0.1,
                        new Prices(0, 0, 0, 0, 0),
                        1_000);
                int sidecar = me;
                fleet.add(new Policy(settings, random.nextLong(), now, new Hands(sidecar)));
            }
        }

        void at(long us, Runnable happens) {
            events.add(new Event(us, order++, happens));
        }

        List<Upstream> list(boolean restarted) {
            List<Upstream> all = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                if (i > 0 || restarted) {
                    all.add(new Upstream("s" + i, "z", "k" + i % 2, 0, servers[i].startedUs, 1, UpstreamState.READY));
                }
            }
            return all;
        }

        double capacity(Server s, long us) {
            double warm = s.startedUs == 0
                    ? 1
                    : cold + (1 - cold) * Math.max(0, Math.min(1, (us - s.startedUs) / (double) rampUs));
            return CORES * s.speed * warm;
        }

        Found run() {
            double mean = (means[0] + means[1] + means[2]) / 3;
            double all =
                    Arrays.stream(servers).mapToDouble(s -> CORES * s.speed).sum() * 1e6 / mean;
            // From quiet to a crowd that no fleet could serve.
            double rate = all * (0.4 + 1.6 * random.nextDouble());
            double[] part = new double[n];
            double sum = 0;
            for (int i = 0; i < n; i++) {
                part[i] = Math.exp(random.nextGaussian());
                sum += part[i];
            }
            long end = servers[0].startedUs + rampUs + S;
            for (int i = 0; i < n; i++) {
                int me = i;
                fleet.get(i).onUpstreamList(now, ListKind.FULL, list(false));
                double own = rate * part[i] / sum / 1e6;
                at(now + gap(own), () -> arrive(me, own, end));
                at(
                        servers[0].startedUs + random.nextInt(100_000),
                        () -> fleet.get(me).onUpstreamList(now, ListKind.FULL, list(true)));
            }
            for (Event e; (e = events.poll()) != null && e.atUs < end; ) {
                now = e.atUs;
                e.happens.run();
            }
            return judge(mean);
        }

        private long gap(double perUs) {
            return 1 + (long) (-Math.log(1 - random.nextDouble()) / perUs);
        }

        private void arrive(int sidecar, double own, long end) {
            at(now + gap(own), () -> arrive(sidecar, own, end));
            int c = random.nextInt(3);
            String id = "r" + asked++;
            double cv = 0.7;
            double sigma = Math.sqrt(Math.log(1 + cv * cv));
            works.put(id, new double[] {means[c] * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2), 0});
            fleet.get(sidecar)
                    .onRequest(now, new Request(id, -1, false, false, 0, (long) (means[c] * 16), null, "c" + c));
        }

        private void begin(Server s) {
            while (s.running < CORES && !s.queue.isEmpty()) {
                Call call = s.queue.poll();
                s.running++;
                double each = capacity(s, now) / CORES;
                at(now + 300 + (long) (call.work / each), () -> {
                    s.running--;
                    begin(s);
                    served++;
                    LoadReport report = reports == LoadReporting.NONE
                            ? null
                            : new LoadReport(s.running + s.queue.size(), s.queue.size(), 0.5);
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

        private Found judge(double mean) {
            double worstCalls = Double.NEGATIVE_INFINITY;
            double worstWork = Double.NEGATIVE_INFINITY;
            for (int i = 0; i < toCold.size(); i++) {
                double from = toCold.get(i)[0];
                double budget = multiple * capacity(servers[0], (long) from) * windowUs / mean;
                double most = budget + 2 * Math.sqrt(budget) + 2;
                double work = 0;
                int calls = 0;
                for (int j = i; j < toCold.size() && toCold.get(j)[0] < from + windowUs; j++) {
                    work += toCold.get(j)[1] / mean;
                    calls++;
                }
                worstCalls = Math.max(worstCalls, calls - most);
                worstWork = Math.max(worstWork, work - most);
            }
            return new Found(worstCalls, worstWork, toCold.size(), served / (double) Math.max(1, asked));
        }

        private final class Hands implements Balancer.Actions {
            private final int me;

            Hands(int me) {
                this.me = me;
            }

            @Override
            public void send(String request, String upstream, long untilUs) {
                Server s = servers[Integer.parseInt(upstream.substring(1))];
                double[] work = works.get(request);
                int number = (int) work[1]++;
                long sent = now;
                at(now + 200, () -> {
                    if (s == servers[0]) {
                        toCold.add(new double[] {now, work[0]});
                    }
                    s.queue.add(new Call(me, request, number, upstream, work[0], sent));
                    begin(s);
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
                at(now + delayUs, () -> fleet.get(me).onTimer(now, mark));
            }

            @Override
            public void log(String text) {}
        }
    }

    /**
     * By the number of sidecars: of 1,000 seeds the one that came nearest to the bound, and the one that went furthest beyond it
     * (or nearest to it) where the cold budget was taken out of the module.
     */
    private static final Map<Integer, int[]> HARD = new TreeMap<>(
            Map.of(5, new int[] {1357, 1815}, 20, new int[] {1766, 1983}, 30, new int[] {1652, 1872}, 120, new int[] {
                1040, 1489
            }));

    @Test
    void theFleetStaysInsideTheBudgetOfTheTrueCapacity() {
        HARD.forEach((n, seeds) -> {
            for (LoadReporting reports : new LoadReporting[] {LoadReporting.NONE, LoadReporting.INLINE}) {
                for (int seed : seeds) {
                    Found f = new Play(seed, n, reports).run();
                    assertTrue(f.toCold > 0, "nobody warms it");
                    assertTrue(
                            f.calls <= 0 && f.work <= 0,
                            () -> n + " sidecars, seed " + seed + ", reports " + reports + ": " + f);
                }
            }
        });
    }

    /** The figures of docs/incidents/acceptance.md: {@code -Dramp.seeds=1000}, from {@code -Dramp.from=1000}. */
    @Test
    @EnabledIfSystemProperty(named = "ramp.seeds", matches = "[0-9]+")
    void figures() {
        int seeds = Integer.getInteger("ramp.seeds");
        int from = Integer.getInteger("ramp.from", 1_000);
        LoadReporting reports = LoadReporting.valueOf(System.getProperty("ramp.reports", "NONE"));
        for (int n : HARD.keySet()) {
            double calls = Double.NEGATIVE_INFINITY;
            double work = Double.NEGATIVE_INFINITY;
            int over = 0;
            int worst = 0;
            double sent = 0;
            double served = 0;
            for (int seed = from; seed < from + seeds; seed++) {
                Found f = new Play(seed, n, reports).run();
                worst = Math.max(f.calls, f.work) > Math.max(calls, work) ? seed : worst;
                calls = Math.max(calls, f.calls);
                work = Math.max(work, f.work);
                over += f.calls > 0 || f.work > 0 ? 1 : 0;
                sent += f.toCold;
                served += f.served;
            }
            System.out.printf(
                    Locale.ROOT,
                    "reports %s, %d sidecars, %d seeds: excess %.1f calls, %.1f of mean work, over in %d, "
                            + "worst seed %d, sent %.0f, served %.3f%n",
                    reports,
                    n,
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
