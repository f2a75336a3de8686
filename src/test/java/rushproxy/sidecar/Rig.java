package rushproxy.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer;

/** A sidecar in this process, with a module that does what the test says and writes down what it is told. */
final class Rig implements AutoCloseable {
    static final String SETTINGS = """
            {"me":0,"balancers":2,"zone":"za","azs":["za"],"kinds":["k"],"discovery":"on_request",
             "profiles":[{"name":"c","semantics":"safe","objective_us":300000,"give_up_us":800000}],
             "rules":{"drain_grace_us":500000,"cold_share":0.2,"ramp_time_us":9000000,"fall_multiple":3,
                      "fall_us":1000000,"ask_every_us":10000000},
             "limits":{"max_attempts":4,"dial_timeout_us":2000000,"conn_idle_us":15000000,"retry_after":true,
                       "max_retry_after_us":1000000,"peers":true,"probing":true,"cancelling":true},
             "load_info":{"how":"inline","fields":["busy_reqs","pending","cpu_share"]},
             "something_new":{"a":[{"b":null}]}}""";

    /** What the module does with a request. */
    interface OnRequest {
        void take(long now, Balancer.Request request, Balancer.Actions out);
    }

    /** What the module does when an attempt has ended without success. */
    interface OnOutcome {
        void take(String request, Balancer.Outcome outcome, boolean done, Balancer.Actions out);
    }

    final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    final List<TestServer> peers = new ArrayList<>();
    final TestServer discovery;
    volatile OnRequest onRequest = (now, r, out) -> out.send(r.id(), "u0", 0);
    volatile OnOutcome onOutcome = (id, outcome, done, out) -> {
        if (!done) {
            out.fail(id);
        }
    };
    /** Runs when the module is told a whole list. */
    volatile Runnable onWholeList = () -> {};
    /** What the module says when a connection is up at last. */
    volatile boolean mayBegin = true;

    Sidecar sidecar;
    String peerFields = "";
    String adminFields = "";
    String settings = SETTINGS;
    /** Whether the module asks for a watch. */
    boolean asks = true;
    /** Not again after a failure. */
    boolean asksOnce;

    int sockets = 1024;
    /** The folder for what outlives the process. */
    Path kept;
    /** Listens for clients already; null where the sidecar is to. */
    java.nio.channels.ServerSocketChannel inherited;

    /** Running, until the test stops it. */
    final MovableTime time = new MovableTime();

    private volatile Balancer.Actions actions;

    Rig(TestServer.Handler discovers) throws IOException {
        discovery = new TestServer(discovers);
    }

    /** Discovery that keeps every watch waiting. */
    Rig() throws IOException {
        this((m, line) -> {});
    }

    TestServer upstream(TestServer.Handler script) throws IOException {
        TestServer p = new TestServer(script);
        peers.add(p);
        return p;
    }

    static String entry(String id, String address, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"za\",\"machineType\":\"k\","
                + "\"cell\":1,\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
    }

    static String list(long generation, boolean whole, String... entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":[" + String.join(",", entries)
                + "]}";
    }

    String known() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < peers.size(); i++) {
            entries.add(entry("u" + i, peers.get(i).address(), "Ready", 0));
        }
        return list(41, true, entries.toArray(String[]::new));
    }

    static Config config(String json) throws IOException, Config.Broken {
        return config(json, Map.of());
    }

    static Config config(String json, Path kept) throws IOException, Config.Broken {
        return config(json, Map.of("TMPDIR", kept == null ? "" : kept.toString()));
    }

    static Config config(String json, Map<String, String> environment) throws IOException, Config.Broken {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, json);
            Map<String, String> all = new java.util.HashMap<>(environment);
            all.put("BALANCER_CONFIG", file.toString());
            return Config.read(all);
        } finally {
            Files.delete(file);
        }
    }

    Rig start() throws Exception {
        Config config = config(
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.address()
                        + "\",\"seed\":\"8c1f30d27a5be964\"," + adminFields + peerFields + "\"known\":" + known()
                        + ",\"limits\":{\"sockets\":" + sockets + "},\"settings\":" + settings + "}",
                kept);
        Sidecar.Module recorder = (c, now, out) -> {
            actions = out;
            return new Recorder();
        };
        sidecar = new Sidecar(config, inherited, recorder, time, time::loops);
        sidecar.start();
        return this;
    }

    InetSocketAddress address() {
        return sidecar.listening();
    }

    /** Opens a second address and says how the operators' call was answered. */
    String call(String line) throws IOException {
        try (TestServer.Client c = operator()) {
            return c.send(line + "\n").rest();
        }
    }

    TestServer.Client operator() throws IOException {
        return new TestServer.Client(sidecar.administered());
    }

    Rig withAdmin() {
        adminFields = "\"admin_addr\":\"127.0.0.1:0\",";
        return this;
    }

    TestServer.Client client() throws IOException {
        return new TestServer.Client(address());
    }

    static String get(String id, long remainingMs) {
        return "GET /api/slots?day=1 HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: "
                + remainingMs + "\r\n\r\n";
    }

    /** What comes to lie in the sockets while the event loop is held up. */
    interface Meanwhile {
        void happens() throws Exception;
    }

    /** Holds the event loop up: it goes on {@code ms} after {@code meanwhile} has happened, by when its beat is late. */
    void holdUp(long ms, Meanwhile meanwhile) throws Exception {
        // Nothing is late before the first beat, and a connection counts as new until the next.
        Thread.sleep(2 * LoopDelay.BEAT_US / 1000);
        holdUp(() -> {
            meanwhile.happens();
            Thread.sleep(ms);
        });
    }

    /** Moves the time, which stands, between two pieces of the loop's work: none sets a timer by the time before. */
    void pass(long ms) throws InterruptedException {
        sidecar.loop().submit(() -> time.move(ms)).sync();
    }

    /** Holds the event loop up until {@code meanwhile} has happened. */
    void holdUp(Meanwhile meanwhile) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        sidecar.loop().execute(() -> {
            held.countDown();
            try {
                goOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        try {
            meanwhile.happens();
        } finally {
            goOn.countDown();
        }
    }

    /** Waits until the module was told something that starts so. */
    String await(String start) throws InterruptedException {
        for (String line; (line = told.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (line.startsWith(start)) {
                return line;
            }
        }
        throw new AssertionError("the module was never told '" + start + "'");
    }

    @Override
    public void close() throws Exception {
        if (sidecar != null) {
            sidecar.end();
        }
        discovery.close();
        for (TestServer p : peers) {
            p.close();
        }
    }

    private final class Recorder implements Balancer {
        @Override
        public void onList(long now, ListKind kind, List<Upstream> entries) {
            told.add("list " + kind + " "
                    + String.join(
                            ",",
                            entries.stream().map(u -> u.id() + "=" + u.state()).toList()));
            if (kind == ListKind.FULL) {
                onWholeList.run();
            }
            if (asks && (kind == ListKind.CACHED || kind == ListKind.FAILED && !asksOnce)) {
                actions.subscribe();
            }
        }

        @Override
        public void onCordon(long now, String upstream, boolean out, long atUs) {
            told.add("cordon " + upstream + " " + out);
        }

        @Override
        public void onRequest(long now, Request request) {
            told.add("request " + request.id() + " " + request.remainingUs());
            onRequest.take(now, request, actions);
        }

        @Override
        public void onOutcome(
                long now,
                String request,
                int attempt,
                String upstream,
                Outcome outcome,
                long latencyUs,
                boolean done,
                LoadReport report) {
            told.add("outcome " + request + " " + attempt + " " + outcome + " " + done + " "
                    + (report == null ? "-" : report.inFlight()));
            onOutcome.take(request, outcome, done, actions);
        }

        @Override
        public void onStreamStart(long now, String request, int attempt, String upstream, long latencyUs) {
            told.add("begins " + request + " " + attempt);
        }

        @Override
        public boolean mayBegin(long now, String request, int attempt) {
            return mayBegin;
        }

        @Override
        public void onSent(long now, String request, int attempt) {
            told.add("sent " + request + " " + attempt);
        }

        @Override
        public void onProbe(long now, String upstream, Outcome outcome, long latencyUs, LoadReport report) {
            told.add("probe " + upstream + " " + outcome + " " + (report == null ? "-" : report.inFlight()));
        }

        @Override
        public void onExpired(long now, String request) {
            told.add("expired " + request);
        }

        @Override
        public void onPeer(long now, int peer, byte[] message) {
            told.add("peer " + peer + " " + message.length);
        }

        @Override
        public void onFleet(long now, Fleet fleet) {
            told.add("fleet " + fleet.here() + " " + fleet.standing());
        }

        @Override
        public void onVerdicts(long now, List<Verdict> verdicts) {
            verdicts.forEach(v -> told.add("verdict " + v.upstream() + " " + v.kind() + " " + v.holds()));
        }

        @Override
        public void onShares(long now, List<Share> shares) {
            shares.forEach(s -> told.add("share " + s.name() + " " + s.share()));
        }

        @Override
        public void onWeights(long now, Weights weights) {
            told.add("weights " + new java.util.TreeMap<>(weights.byServer()));
        }

        @Override
        public byte[] know() {
            return new byte[] {1, 2, 3};
        }

        @Override
        public int onKnow(long now, List<byte[]> all) {
            all.forEach(k -> told.add("know " + java.util.Arrays.toString(k)));
            return all.size();
        }

        @Override
        public Map<String, Double> demands(long passedUs) {
            return Map.of();
        }

        @Override
        public void onTimer(long now, String mark) {
            told.add("timer " + mark);
            if (mark.equals("break")) {
                throw new IllegalStateException("as the test wants");
            }
        }
    }
}
