package second;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The stand-ins of the second review: discovery's agent, upstreams, clients, and the start of a sidecar by the deploy file. They use
 * the JDK alone. All addresses are loopback addresses, all ports are free ones.
 */
public final class Stand {
    private static final long START = System.nanoTime();
    /** Exit codes of a case. */
    public static final int HELD = 0;

    public static final int BROKEN = 1;
    public static final int COULD_NOT_RUN = 2;

    /** A script runs for 120 s at most. */
    private static final double MAX_RUN_MS = 110_000;
    /** limits.conn_idle_us of the settings: an upstream closes a connection that has stood idle for so long. */
    public static final int IDLE_MS = 5_000;

    private Stand() {}

    /** Whether the case plays its disruption. */
    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Milliseconds since the start of the case. */
    public static double ms() {
        return (System.nanoTime() - START) / 1e6;
    }

    public static void sleep(double ms) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) (ms * 1e6));
    }

    public static Thread spawn(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection or the case has ended.
            } catch (Exception e) {
                log("stand-in failed: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Work of a stand-in. */
    public interface Task {
        void run() throws Exception;
    }

    // ---- the record

    private static PrintWriter record;

    public static synchronized void log(String line) {
        if (record != null) {
            record.println(String.format(Locale.ROOT, "%9.1f %s", ms(), line));
            record.flush();
        }
    }

    /** The body of a case. Returns one of the exit codes. */
    public interface Play {
        int play() throws Exception;
    }

    /** Runs a case: opens its record, and ends all sidecars whatever happens. Arguments: root of the repository, folder of the case. */
    public static void run(String[] args, Play play) throws Exception {
        root = Path.of(args[0]).toAbsolutePath().normalize();
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1], "record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(Stand::endAll));
        spawn(() -> {
            sleep(MAX_RUN_MS);
            log("could not run: it took too long");
            endAll();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        int code = COULD_NOT_RUN;
        try {
            log("disruption: " + (trouble() ? "on" : "off"));
            code = play.play();
        } catch (Throwable e) {
            log("could not run: " + e);
            e.printStackTrace();
        } finally {
            endAll();
        }
        String result = code == HELD ? "held" : code == BROKEN ? "BROKEN" : "could not run";
        log("result: " + result);
        System.out.println(result);
        Runtime.getRuntime().halt(code);
    }

    // ---- the sidecar

    private static Path root;
    private static final List<Sidecar> SIDECARS = new ArrayList<>();
    private static final List<Path> FOLDERS = new ArrayList<>();

    private static void endAll() {
        synchronized (SIDECARS) {
            SIDECARS.forEach(s -> s.process.destroyForcibly());
            for (Sidecar s : SIDECARS) {
                try {
                    s.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            SIDECARS.clear();
            for (Path folder : FOLDERS) {
                try (Stream<Path> all = Files.walk(folder)) {
                    for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                        Files.deleteIfExists(p);
                    }
                } catch (IOException e) {
                    // It lies in the system's folder for temporary files.
                }
            }
            FOLDERS.clear();
        }
    }

    public static Path newFolder() throws IOException {
        Path folder = Files.createTempDirectory("review-2-");
        synchronized (SIDECARS) {
            FOLDERS.add(folder);
        }
        return folder;
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no line 'run'");
    }

    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** What a sidecar is told, with the settings of a small deployment like the one in the pages. */
    public static final class Config {
        public String name = "n0";
        public int listen;
        public int admin;
        public int discovery;
        public int memoryMb = 144;
        public int sockets = 576;
        public String known = "";
        /** This sidecar's address for datagrams, and those of two others, which are not heard. */
        public int[] peers = {freePort(), freePort(), freePort()};
        public String seed = "8c1f30d27a5be964";
        public int sidecars = 3;
        public long objectiveUs = 250_000;

        public Config() throws IOException {
            listen = freePort();
            admin = freePort();
        }

        String json() {
            return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
                    + "\",\"admin_addr\":\"127.0.0.1:" + admin + "\",\"seed\":\"" + seed
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                    + "\"peer_listen\":\"127.0.0.1:" + peers[0] + "\",\"peers\":[\"127.0.0.1:" + peers[0] + "\",\"127.0.0.1:"
                    + peers[1] + "\",\"127.0.0.1:" + peers[2] + "\"],\"known\":" + known + ",\"settings\":{"
                    + "\"me\":0,\"balancers\":" + sidecars + ",\"zone\":\"athina\",\"azs\":[\"athina\",\"thessaloniki\"],"
                    + "\"kinds\":[\"grigoro\",\"argo\"],\"discovery\":\"pushed\",\"counted_by\":\"work\",\"period_us\":5000,"
                    + "\"profiles\":["
                    + profile("hive-weight", "safe", "all", 2, objectiveUs, 500_000, 5_000_000) + ","
                    + profile("apiary-summary", "safe", "all", 1, 400_000, 1_200_000, 5_000_000) + ","
                    + profile("hive-move", "unsafe", "all", 5, 500_000, 2_500_000, 5_000_000) + ","
                    + profile("harvest-log", "keyed", "cell", 10, 600_000, 2_500_000, 2_500_000) + "],"
                    + "\"rules\":{\"answer_slack_us\":20000,\"ask_every_us\":10000000,\"cold_share\":0.35,"
                    + "\"drain_grace_us\":500000,\"fall_multiple\":3.0,\"fall_us\":2000000,\"ramp_time_us\":8600000},"
                    + "\"limits\":{\"cancelling\":true,\"conn_idle_us\":5000000,\"dial_timeout_us\":120000,\"max_attempts\":3,"
                    + "\"max_retry_after_us\":1200000,\"peers\":true,\"probing\":true,\"retry_after\":true,"
                    + "\"second_copies\":true,\"max_streams\":1},"
                    + "\"tariffs\":{\"connection\":0.05,\"cross_zone\":0.02,\"handshake\":0.05,\"late_fail\":0.05,"
                    + "\"peer\":0.01,\"probe\":0.01,\"waste\":0.04},"
                    + "\"load_info\":{\"how\":\"off\",\"fields\":[]},\"weights\":\"off\"}}";
        }

        private static String profile(
                String name, String semantics, String group, int worth, long aimUs, long giveUpUs, long windowUs) {
            return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"group\":\"" + group
                    + "\",\"importance\":" + worth + ",\"objective_us\":" + aimUs + ",\"give_up_us\":" + giveUpUs
                    + ",\"window_us\":" + windowUs + ",\"late_worth\":0.0,\"stream\":false}";
        }
    }

    /** A process of a sidecar, started by the line {@code run} of the deploy file. */
    public static final class Sidecar {
        public final Config config;
        public final Process process;
        public final Path folder;

        private Sidecar(Config config, Process process, Path folder) {
            this.config = config;
            this.process = process;
            this.folder = folder;
        }

        /** Starts a process with a listener of its own. */
        public static Sidecar start(Config config) throws IOException {
            return start(config, newFolder(), null);
        }

        /** Starts a process; with a shared socket that is its descriptor 0, as on a replacement. The folder is its TMPDIR. */
        public static Sidecar start(Config config, Path tmp, ServerSocketChannel shared) throws IOException {
            Path folder = newFolder();
            Path file = folder.resolve("config.json");
            Files.writeString(file, config.json());
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).directory(root.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().removeIf(k -> k.startsWith("BALANCER_") || k.equals("JAVA_TOOL_OPTIONS"));
            environment.put("BALANCER_NAME", config.name);
            environment.put("BALANCER_LISTEN", "127.0.0.1:" + config.listen);
            environment.put("BALANCER_DISCOVERY", "127.0.0.1:" + config.discovery);
            environment.put("BALANCER_ADMIN_ADDR", "127.0.0.1:" + config.admin);
            environment.put("BALANCER_CONFIG", file.toString());
            environment.put("TMPDIR", tmp.toString());
            if (System.getenv("SIDECAR_DEBUG") != null) {
                environment.put("BALANCER_LOG_LEVEL", "debug");
                builder.redirectError(ProcessBuilder.Redirect.appendTo(Path.of(System.getenv("SIDECAR_DEBUG")).toFile()));
            } else {
                builder.redirectError(folder.resolve("log").toFile());
            }
            builder.redirectOutput(folder.resolve("out").toFile());
            Process process;
            if (shared == null) {
                builder.redirectInput(Path.of("/dev/null").toFile());
                process = builder.start();
            } else {
                environment.put("BALANCER_ACCEPT_FD", "0");
                builder.redirectInput(ProcessBuilder.Redirect.INHERIT);
                process = startInheriting(builder, shared);
            }
            Sidecar sidecar = new Sidecar(config, process, folder);
            synchronized (SIDECARS) {
                SIDECARS.add(sidecar);
            }
            log("started a process of " + config.name + ", pid " + process.pid());
            return sidecar;
        }

        /** Waits until {@code GET /health/ready} says 200. */
        public void awaitReady() throws Exception {
            double until = ms() + 30_000;
            while (ms() < until) {
                if (readyStatus() == 200) {
                    log(config.name + " is ready");
                    return;
                }
                if (!process.isAlive()) {
                    throw new IOException("the sidecar ended: " + Files.readString(folder.resolve("log")));
                }
                sleep(50);
            }
            throw new IOException("the sidecar is not ready after 30 s");
        }

        /** The status of {@code GET /health/ready} on a new connection; 0 where there is none. */
        public int readyStatus() {
            try (Client client = new Client(config.listen)) {
                return client.call("GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n").status;
            } catch (IOException e) {
                return 0;
            }
        }

        /** One line to the second address; the answer, or the error as text. */
        public String admin(String line) {
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), config.admin)) {
                socket.setSoTimeout(3_000);
                socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
                return answer;
            } catch (IOException e) {
                return "ERROR " + e;
            }
        }

        /** Sends a signal by name to this process. */
        public void signal(String name) throws Exception {
            log("SIG" + name + " to pid " + process.pid());
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        public long memoryKb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        return Long.parseLong(line.replaceAll("[^0-9]", ""));
                    }
                }
            } catch (IOException e) {
                return 0;
            }
            return 0;
        }
    }

    /** A listening socket of the platform's, which each process inherits as descriptor 0. */
    public static ServerSocketChannel sharedSocket(int port) throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open(StandardProtocolFamily.INET);
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        socket.bind(new InetSocketAddress("127.0.0.1", port), 256);
        return socket;
    }

    /** Java hands on the descriptors 0 to 2 alone, so the socket takes the place of descriptor 0 for the moment of the start. */
    private static synchronized Process startInheriting(ProcessBuilder builder, ServerSocketChannel socket) throws IOException {
        try {
            Class<?> channel = Class.forName("sun.nio.ch.InheritedChannel");
            Method dup = channel.getDeclaredMethod("dup", int.class);
            Method dup2 = channel.getDeclaredMethod("dup2", int.class, int.class);
            Method close = channel.getDeclaredMethod("close0", int.class);
            for (Method m : List.of(dup, dup2, close)) {
                m.setAccessible(true);
            }
            Field fd = Class.forName("sun.nio.ch.ServerSocketChannelImpl").getDeclaredField("fd");
            fd.setAccessible(true);
            Field number = java.io.FileDescriptor.class.getDeclaredField("fd");
            number.setAccessible(true);
            int saved = (int) dup.invoke(null, 0);
            dup2.invoke(null, number.getInt(fd.get(socket)), 0);
            try {
                return builder.start();
            } finally {
                dup2.invoke(null, saved, 0);
                close.invoke(null, saved);
            }
        } catch (ReflectiveOperationException e) {
            throw new IOException(e);
        }
    }

    // ---- HTTP

    /** A message read from a socket. */
    public static final class Message {
        public String first = "";
        public int status;
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public byte[] body = new byte[0];
        public double firstByteMs;
        public double lastByteMs;

        public String id() {
            return headers.getOrDefault("X-Txn", "");
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                throw new EOFException();
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    private static byte[] readExactly(InputStream in, int bytes) throws IOException {
        byte[] read = in.readNBytes(bytes);
        if (read.length < bytes) {
            throw new EOFException();
        }
        return read;
    }

    /** Reads one message with a length or in chunks; without either a response runs to the end, a request has no body. */
    public static Message read(InputStream in, boolean isResponse) throws IOException {
        Message m = new Message();
        in.mark(1);
        if (in.read() < 0) {
            throw new EOFException();
        }
        m.firstByteMs = ms();
        in.reset();
        m.first = readLine(in);
        if (isResponse) {
            m.status = Integer.parseInt(m.first.split(" ")[1]);
        }
        for (String line; !(line = readLine(in)).isEmpty(); ) {
            int colon = line.indexOf(':');
            m.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        if (m.headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int n; (n = Integer.parseInt(readLine(in).split(";")[0].strip(), 16)) > 0; ) {
                all.write(readExactly(in, n));
                readLine(in);
            }
            while (!readLine(in).isEmpty()) {}
            m.body = all.toByteArray();
        } else if (m.headers.containsKey("Content-Length")) {
            m.body = readExactly(in, Integer.parseInt(m.headers.get("Content-Length")));
        } else if (isResponse) {
            m.body = in.readAllBytes();
        }
        m.lastByteMs = ms();
        return m;
    }

    public static byte[] ok(String body) {
        return response("200 OK", "", body);
    }

    public static byte[] response(String status, String fields, String body) {
        return ("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- clients

    /** A connection of a client. */
    public static final class Client implements AutoCloseable {
        public final Socket socket;
        public final InputStream in;

        public Client(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 3_000);
            socket.setSoTimeout(10_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        public void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        public Message call(String text) throws IOException {
            send(text);
            return read(in, true);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    private static final java.util.concurrent.atomic.AtomicLong IDS = new java.util.concurrent.atomic.AtomicLong();
    private static final long RUN = System.nanoTime() ^ ProcessHandle.current().pid() << 40;

    public static String newId() {
        return String.format("%08x%08x", (int) RUN, IDS.incrementAndGet());
    }

    /** A request of a class, as the protocol page gives it. */
    public static String request(String method, String id, String lane, String key, int remainingMs, String body) {
        return method + " /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id + "\r\nX-Lane: " + lane + "\r\n"
                + (key == null ? "" : "Cookie: k=" + key + "\r\n")
                + "X-Remaining-Ms: " + remainingMs + "\r\n"
                + (lane.equals("harvest-log") ? "Idempotency-Key: " + id + id + "\r\n" : "")
                + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    // ---- upstreams

    /** What an upstream does with a request. */
    public interface Handler {
        void handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** An upstream: a thread for each connection, one request at a time on each. */
    public static final class Upstream {
        public final String id;
        public final int port;
        public volatile String lifecycle = "Ready";
        public volatile long startedAtMs;
        public String zone = "athina";
        public int cell;
        public volatile Handler handler;
        private final ServerSocket listener;
        public final List<Message> requests = new ArrayList<>();

        public Upstream(String id, Handler handler) throws IOException {
            this.id = id;
            this.handler = handler;
            listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            spawn(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    spawn(() -> serve(socket));
                }
            });
        }

        /** An entry of the list for an upstream that a case plays itself. */
        public Upstream(String id, int port) {
            this.id = id;
            this.port = port;
            listener = null;
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(IDLE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request.first.contains(" /stats ") || request.first.contains(" /health/live ")) {
                        out.write(ok(""));
                        continue;
                    }
                    synchronized (requests) {
                        requests.add(request);
                    }
                    handler.handle(request, socket, out);
                }
            } catch (EOFException e) {
                // The sidecar has closed the connection.
            }
        }

        public List<Message> taken() {
            synchronized (requests) {
                return new ArrayList<>(requests);
            }
        }

        String entry() {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                    + "\",\"machineType\":\"grigoro\",\"cell\":" + cell + ",\"lifecycle\":\"" + lifecycle
                    + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
        }
    }

    // ---- discovery

    /** Discovery's agent: the list, its changes, and watches on it. */
    public static final class Agent {
        public final int port;
        private final ServerSocket listener;
        private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
        private final Map<String, Integer> changedAt = new LinkedHashMap<>();
        private int generation = 1;
        /** How long an answer takes beyond its wait. */
        public volatile double lateMs;

        public Agent(List<Upstream> list) throws IOException {
            for (Upstream u : list) {
                upstreams.put(u.id, u);
                changedAt.put(u.id, 1);
            }
            listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            spawn(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    spawn(() -> serve(socket));
                }
            });
        }

        /** The whole list. */
        public synchronized String whole() {
            return list(true, -1);
        }

        private String list(boolean isWhole, int after) {
            StringBuilder entries = new StringBuilder();
            for (Upstream u : upstreams.values()) {
                if (isWhole ? !u.lifecycle.equals("Gone") : changedAt.get(u.id) > after) {
                    entries.append(entries.length() == 0 ? "" : ",").append(u.entry());
                }
            }
            return "{\"generation\":" + generation + ",\"reset\":" + isWhole + ",\"instances\":[" + entries + "]}";
        }

        /** Changes an upstream's lifecycle; open watches are told at once. */
        public synchronized void set(Upstream u, String lifecycle) {
            upstreams.put(u.id, u);
            u.lifecycle = lifecycle;
            changedAt.put(u.id, ++generation);
            log("discovery has " + u.id + " as " + lifecycle + ", version " + generation);
            notifyAll();
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = read(in, false);
                    String uri = request.first.split(" ")[1];
                    log("discovery is asked " + uri);
                    String body = answer(uri);
                    if (lateMs > 0) {
                        sleep(lateMs);
                        // What it has when it answers.
                        body = answer(uri.replaceAll("wait=[0-9]+", "wait=0"));
                    }
                    socket.getOutputStream().write(response("200 OK", "Content-Type: application/json\r\n", body));
                    log("discovery answered " + uri + ": " + (body.length() > 60 ? body.substring(0, 60) + "..." : body));
                }
            }
        }

        private synchronized String answer(String uri) throws InterruptedException {
            if (!uri.contains("index=")) {
                return list(true, -1);
            }
            int index = Integer.parseInt(uri.replaceAll(".*index=([0-9]+).*", "$1"));
            double until = ms() + Integer.parseInt(uri.replaceAll(".*wait=([0-9]+).*", "$1"));
            while (generation <= index && ms() < until) {
                wait(Math.max(1, (long) (until - ms())));
            }
            return list(false, index);
        }
    }
}
