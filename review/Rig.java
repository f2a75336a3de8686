import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, the sidecar's process, and one HTTP/1.1 message at a time on blocking sockets. */
final class Rig {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int VOID = 2;
    /** Below the 120 s that a script may take. */
    private static final long LIMIT_MS = 110_000;

    /** How the settings say that lists come: pushed or on_request. */
    static String lists = "pushed";

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START_NS = System.nanoTime();
    private static PrintWriter record;
    private static Path temporary;
    private static final List<Process> processes = new ArrayList<>();

    private Rig() {}

    /** What a case does. */
    interface Case {
        void run() throws Exception;
    }

    /** Plays a case with its record in {@code folder}; whatever it throws leaves the run void. */
    static void play(String folder, Case body) {
        try {
            begin(folder);
            body.run();
        } catch (Throwable e) {
            if (record == null) {
                System.err.println(e);
                System.exit(VOID);
            }
            finish(VOID, "the run failed: " + e);
        }
    }

    /** Opens the record of a case and makes sure that everything ends with this process. */
    private static void begin(String folder) throws IOException {
        record = new PrintWriter(
                new BufferedWriter(Files.newBufferedWriter(Path.of(folder, "record.txt"), StandardCharsets.UTF_8)));
        temporary = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::endAll));
        Thread limit = new Thread(() -> {
            sleep(LIMIT_MS);
            finish(VOID, "the run took too long");
        });
        limit.setDaemon(true);
        limit.start();
        say("trouble: " + TROUBLE);
    }

    static double seconds() {
        return (System.nanoTime() - START_NS) / 1e9;
    }

    /** One line of the record. */
    static synchronized void say(String text) {
        record.printf(Locale.ROOT, "%9.4f %s%n", seconds(), text);
    }

    static void finish(int code, String why) {
        String word = code == HELD ? "HELD" : code == BROKEN ? "BROKEN" : "VOID";
        synchronized (Rig.class) {
            say(word + ": " + why);
            record.flush();
        }
        System.out.println(word + ": " + why);
        System.out.flush();
        System.exit(code);
    }

    private static void endAll() {
        for (Process p : processes) {
            p.destroyForcibly();
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        record.flush();
        try (Stream<Path> all = Files.walk(temporary)) {
            all.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs {@code work} on a daemon thread of its own. */
    static Thread spawn(Runnable work) {
        Thread thread = new Thread(null, work, "rig", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- the sidecar

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static Path temporary() {
        return temporary;
    }

    /** One sidecar process, started by the line {@code run} of the deploy file from the repository's root. */
    static Process startSidecar(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            InetSocketAddress admin,
            String known,
            int memoryMb,
            int sockets)
            throws IOException {
        Path folder = Files.createDirectories(temporary.resolve(name));
        Path state = Files.createDirectories(folder.resolve("tmp"));
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(name, listen, discovery, known, memoryMb, sockets));
        Path root = Path.of("").toAbsolutePath();
        if (!Files.exists(root.resolve("target/rushproxy.jar"))) {
            finish(VOID, "the program is not built");
        }
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectInput(new File("/dev/null"))
                .redirectOutput(folder.resolve("log").toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(key -> key.startsWith("BALANCER_"));
        environment.put("TMPDIR", state.toString());
        environment.put("BALANCER_NAME", name);
        environment.put("BALANCER_LISTEN", text(listen));
        environment.put("BALANCER_DISCOVERY", text(discovery));
        environment.put("BALANCER_CONFIG", config.toString());
        if (admin != null) {
            environment.put("BALANCER_ADMIN_ADDR", text(admin));
        }
        Process process = builder.start();
        processes.add(process);
        say("sidecar " + name + " started, process " + process.pid());
        return process;
    }

    /** Waits until the sidecar says that it is ready, or gives the run up. */
    static void awaitReady(InetSocketAddress listen, Process process) {
        long until = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < until && process.isAlive()) {
            try (Conn c = new Conn(listen, 1_000)) {
                c.send("GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
                if (c.read().status == 200) {
                    say("the sidecar is ready");
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            sleep(50);
        }
        finish(VOID, "the sidecar did not become ready");
    }

    static String log(String name) {
        try {
            return Files.readString(temporary.resolve(name).resolve("log"));
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** The figures are those of the example in the wire page, for a deployment of one sidecar without peers. */
    private static String config(
            String name, InetSocketAddress listen, InetSocketAddress discovery, String known, int memory, int sockets) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + text(listen) + "\",\"discovery\":\"" + text(discovery)
                + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\",\n"
                + " \"limits\":{\"cores\":1.0,\"memory_mb\":" + memory + ",\"sockets\":" + sockets + "},\n"
                + " \"known\":" + known + ",\n"
                + " \"settings\":{\"me\":0,\"balancers\":1,\"zone\":\"athina\",\"azs\":[\"athina\"],"
                + "\"kinds\":[\"grigoro\"],\"layer\":0,\"layers\":[\"api\"],\"family\":\"mesh\","
                + "\"discovery\":\"" + lists + "\",\"counted_by\":\"work\",\"period_us\":5000,\"weights\":\"off\",\n"
                + "  \"profiles\":["
                + profile("hive-weight", 2, 250_000, 500_000, "safe", "all", 5_000_000) + ","
                + profile("apiary-summary", 1, 400_000, 1_200_000, "safe", "all", 5_000_000) + ","
                + profile("hive-move", 5, 500_000, 2_500_000, "unsafe", "all", 5_000_000) + ","
                + profile("harvest-log", 10, 600_000, 2_500_000, "keyed", "cell", 2_500_000) + "],\n"
                + "  \"accounts\":[],\"extra\":{\"warm_keys\":true},\"clients\":{\"marks_retry\":true},\n"
                + "  \"rules\":{\"answer_slack_us\":20000,\"ask_every_us\":10000000,\"cold_share\":0.35,"
                + "\"drain_grace_us\":500000,\"fall_multiple\":3.0,\"fall_us\":2000000,\"ramp_time_us\":8600000},\n"
                + "  \"limits\":{\"cancelling\":true,\"conn_idle_us\":5000000,\"cpu_us_per_request\":0.0,"
                + "\"dial_timeout_us\":120000,\"max_attempts\":3,\"max_open\":20000,"
                + "\"max_retry_after_us\":1200000,\"max_streams\":1,\"peers\":false,\"probing\":true,"
                + "\"retry_after\":true,\"second_copies\":true},\n"
                + "  \"tariffs\":{\"connection\":0.05,\"cross_zone\":0.02,\"discovery\":0.0,\"handshake\":0.05,"
                + "\"late_fail\":0.05,\"moves\":0.0,\"origin\":0.0,\"peer\":0.01,\"probe\":0.01,\"waste\":0.04},\n"
                + "  \"load_info\":{\"how\":\"off\",\"fields\":[]},\"over_share_worth\":0.1}}\n";
    }

    private static String profile(
            String name, int worth, long aimUs, long giveUpUs, String semantics, String group, long windowUs) {
        return "{\"name\":\"" + name + "\",\"importance\":" + worth + ",\"objective_us\":" + aimUs
                + ",\"give_up_us\":" + giveUpUs + ",\"semantics\":\"" + semantics + "\",\"group\":\"" + group
                + "\",\"window_us\":" + windowUs + ",\"late_worth\":0.0,\"stream\":false}";
    }

    // ---- messages

    /** One message as it was read. */
    static final class Message {
        String first = "";
        int status;
        /** When the first byte was read, in the record's seconds. */
        double beganAt;
        final Map<String, String> headers = new HashMap<>();
        String body = "";
    }

    /** A connection of either side, used by one thread at a time. */
    static final class Conn implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Conn(InetSocketAddress to, int timeoutMs) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            try {
                socket.connect(to, timeoutMs);
            } catch (IOException e) {
                socket.close();
                throw e;
            }
            socket.setSoTimeout(timeoutMs);
            in = socket.getInputStream();
        }

        Conn(Socket accepted) throws IOException {
            socket = accepted;
            socket.setTcpNoDelay(true);
            in = socket.getInputStream();
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int c; (c = in.read()) != '\n'; ) {
                if (c < 0) {
                    return null;
                }
                if (c != '\r') {
                    line.write(c);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        /** The next message; null at the end of the connection between two messages. */
        Message read() throws IOException {
            Message message = new Message();
            int firstByte = in.read();
            if (firstByte < 0) {
                return null;
            }
            message.beganAt = seconds();
            message.first = (char) firstByte + need(line());
            if (message.first.startsWith("HTTP/")) {
                message.status = Integer.parseInt(message.first.split(" ")[1]);
            }
            for (String line; !(line = need(line())).isEmpty(); ) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
                for (int size; (size = Integer.parseInt(need(line()).split(";")[0].trim(), 16)) > 0; ) {
                    body.write(exactly(size));
                    need(line());
                }
                while (!need(line()).isEmpty()) {
                    // Trailers.
                }
            } else {
                body.write(exactly(Integer.parseInt(message.headers.getOrDefault("content-length", "0"))));
            }
            message.body = body.toString(StandardCharsets.ISO_8859_1);
            return message;
        }

        private byte[] exactly(int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new IOException("ended within a body");
            }
            return bytes;
        }

        private static String need(String line) throws IOException {
            if (line == null) {
                throw new IOException("ended within a message");
            }
            return line;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is gone either way.
            }
        }
    }
}
