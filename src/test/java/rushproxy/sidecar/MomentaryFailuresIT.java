package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rushproxy.lab.node.SharedSocket;
import rushproxy.lab.node.SystemFaults;
import rushproxy.lab.node.SystemFaults.Call;

/**
 * A real sidecar whose system calls fail for a moment: that is no end of a connection, so each request gets its final answer in its
 * time, and none runs twice that must not.
 */
@Timeout(120)
class MomentaryFailuresIT {
    /** Six calls in a hundred, as in incident-2. */
    private static final double CHANCE = 0.06;

    private static final int SERVERS = 4;
    private static final int CLIENTS = 8;
    private static final int REQUESTS_EACH = 50;
    /** For calls of which each request makes few. */
    private static final double OFTEN = 0.3;

    private static final int STARTS = 4;
    private static final long REMAINING_MS = 800;
    /** What a client waits beyond its time before it counts an answer as missing. */
    private static final int SLACK_MS = 70;

    private static final long SEED = 11;

    @TempDir
    Path folder;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();
    private StandIns standIns;
    private SidecarProcess sidecar;
    private SystemFaults faults;

    @BeforeEach
    void prepare() throws Exception {
        standIns = new StandIns();
        Optional<Path> library = SystemFaults.compile(folder.resolve("library"));
        Assumptions.assumeTrue(library.isPresent(), "no C compiler on this machine");
        faults = SystemFaults.create(library.get(), folder.resolve("control"), SEED);
        standIns.servers(SERVERS, (m, line) -> {
            runs.merge(m.header("X-Txn"), 1, Integer::sum);
            line.answer("200 OK", "", m.header("X-Txn"));
        });
    }

    private void start() throws Exception {
        sidecar = standIns.start(folder, faults.environment());
    }

    @AfterEach
    void end() throws Exception {
        standIns.close();
    }

    /** Each request comes on a connection of its own. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "ACCEPT_FAILS",
                "OPTION_FAILS",
                "NAME_FAILS",
                "REGISTER_FAILS",
                "READ_FAILS",
                "SEND_FAILS",
                "READ_SHORT",
                "WRITE_SHORT"
            })
    void newConnectionsAreAnswered(Call call) throws Exception {
        start();
        faults.setProbability(call, CHANCE);
        play(client -> {
            for (int i = 0; i < REQUESTS_EACH; i++) {
                try (Peer.Client connection = sidecar.client()) {
                    request(connection, id(client, i));
                }
            }
        });
        check(call);
    }

    /** All requests of a client come on one connection, one after the other. */
    @ParameterizedTest
    @EnumSource(names = {"OPTION_FAILS", "NAME_FAILS", "REGISTER_FAILS", "READ_FAILS", "SEND_FAILS"})
    void connectionsThatStayOpenAreAnswered(Call call) throws Exception {
        start();
        faults.setProbability(call, CHANCE);
        play(client -> {
            try (Peer.Client connection = sidecar.client()) {
                for (int i = 0; i < REQUESTS_EACH; i++) {
                    request(connection, id(client, i));
                }
            }
        });
        check(call);
    }

    /** A process that starts while calls fail is ready all the same. */
    @ParameterizedTest
    @EnumSource(names = {"SOCKET_FAILS", "OPTION_FAILS", "NAME_FAILS", "REGISTER_FAILS"})
    void aProcessStarts(Call call) throws Exception {
        for (int i = 0; i < STARTS; i++) {
            faults.setProbability(call, OFTEN);
            start();
            faults.clear();
            try (Peer.Client connection = sidecar.client()) {
                request(connection, id(0, i));
            }
            assertEquals(List.of(), List.copyOf(wrong));
            sidecar.close();
        }
    }

    /** Guards against a successor that ends at its start since its held socket's address can't be told for a moment. */
    @Test
    void aProcessTakesAHeldSocket() throws Exception {
        try (SharedSocket socket = new SharedSocket(new InetSocketAddress("127.0.0.1", 0))) {
            for (int i = 0; i < STARTS; i++) {
                faults.setProbability(Call.NAME_FAILS, OFTEN);
                SidecarProcess process = standIns.startOn(socket, folder, faults.environment());
                faults.clear();
                try (Peer.Client connection = new Peer.Client(socket.address())) {
                    request(connection, id(0, i));
                }
                assertEquals(List.of(), List.copyOf(wrong));
                process.close();
            }
        }
    }

    /** A connection to a server that this machine can't open for a moment is no fault of the server's. */
    @ParameterizedTest
    @EnumSource(names = {"CONNECT_FAILS", "SOCKET_FAILS", "NAME_FAILS"})
    void whatCanNotBeDialledForAMomentIsDialledAgain(Call call) throws Exception {
        start();
        for (Peer server : standIns.servers) {
            server.script = (m, line) -> {
                line.answer("200 OK", "Connection: close\r\n", m.header("X-Txn"));
                line.socket().close();
            };
        }
        faults.setProbability(call, OFTEN);
        List<String> failed = new ArrayList<>();
        try (Peer.Client connection = sidecar.client()) {
            for (int i = 0; i < REQUESTS_EACH; i++) {
                long sentNanos = System.nanoTime();
                connection.send(SidecarProcess.get(id(0, i), "unsafe", REMAINING_MS));
                int status = connection.status();
                if (status != 200) {
                    failed.add(id(0, i) + ": " + status + " after "
                            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos) + " ms");
                }
            }
        }
        faults.clear();
        assertEquals(List.of(), failed, () -> {
            Peer.await(() -> sidecar.log.stream().anyMatch(line -> line.contains("not served")));
            return String.join("\n", sidecar.log);
        });
    }

    /** A first byte that could not be written while its client was there is not written once it has gone. */
    @Test
    void nothingIsSentForAClientThatLeftMeanwhile() throws Exception {
        start();
        try (Peer.Client connection = sidecar.client()) {
            request(connection, "safe-first");
        }
        faults.setProbability(Call.SEND_FAILS, 1);
        for (int i = 0; i < CLIENTS; i++) {
            try (Peer.Client connection = sidecar.client()) {
                connection.send(SidecarProcess.get("safe-left" + i, "safe", REMAINING_MS));
                pause();
            }
        }
        faults.clear();
        try (Peer.Client connection = sidecar.client()) {
            request(connection, "safe-last");
        }
        pause();
        assertEquals(List.of(), List.copyOf(wrong));
        assertEquals(Set.of("safe-first", "safe-last"), runs.keySet());
        assertEquals(0, sidecar.violations());
    }

    /** The end of such an answer is the end of its connection. */
    @Test
    void theEndOfAnAnswerIsToldInTime() throws Exception {
        start();
        for (Peer server : standIns.servers) {
            server.script = (m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\n\r\nwhole");
                line.socket().close();
            };
        }
        faults.setProbability(Call.SHUTDOWN_FAILS, OFTEN);
        List<String> late = new ArrayList<>();
        for (int i = 0; i < REQUESTS_EACH; i++) {
            try (Peer.Client connection = sidecar.client()) {
                connection.socket.setSoTimeout((int) REMAINING_MS);
                connection.send(SidecarProcess.request("GET", "1.0", id(0, i), "safe", REMAINING_MS));
                if (!connection.rest().endsWith("whole")) {
                    late.add(i + " was not whole");
                }
            } catch (SocketTimeoutException e) {
                late.add(i + " has no end");
            }
        }
        faults.clear();
        assertEquals(List.of(), late);
    }

    /** An answer that breaks off half way is never taken for a whole one. */
    @Test
    void aBrokenAnswerIsRecognised() throws Exception {
        start();
        for (Peer server : standIns.servers) {
            server.script = (m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\n\r\nhalf");
                pause();
                line.raw("more");
                pause();
                line.reset();
            };
        }
        faults.setProbability(Call.OPTION_FAILS, OFTEN);
        List<String> whole = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            try (Peer.Client connection = sidecar.client()) {
                connection.send(SidecarProcess.request("GET", "1.0", id(0, i), "unsafe", REMAINING_MS));
                String text = connection.rest();
                if (text.startsWith("HTTP/1.1 200")) {
                    whole.add(text);
                }
            } catch (SocketException e) {
                // A reset, as it should be.
            }
        }
        faults.clear();
        assertEquals(List.of(), whole);
    }

    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Clients send on the connections they hold until the process ends. */
    @ParameterizedTest
    @EnumSource(names = {"READ_FAILS", "SEND_FAILS", "REGISTER_FAILS", "SHUTDOWN_FAILS", "OPTION_FAILS"})
    void aStopLosesNothing(Call call) throws Exception {
        start();
        faults.setProbability(call, CHANCE);
        Thread signal = new Thread(() -> {
            pause();
            try {
                sidecar.signal("TERM");
                pause();
                sidecar.signal("TERM");
            } catch (Exception e) {
                wrong.add("the signal: " + e);
            }
        });
        signal.start();
        play(client -> {
            try (Peer.Client connection = sidecar.client()) {
                for (int i = 0; ; i++) {
                    if (!requestUntilClosed(connection, id(client, i))) {
                        return;
                    }
                }
            }
        });
        signal.join();
        check(call);
    }

    /** False where the connection had ended between requests, or ends after this answer. */
    private boolean requestUntilClosed(Peer.Client connection, String id) throws IOException {
        connection.socket.setSoTimeout((int) REMAINING_MS + SLACK_MS);
        try {
            connection.send(SidecarProcess.get(id, id.startsWith("unsafe") ? "unsafe" : "safe", REMAINING_MS));
            Peer.Message answer = connection.answer();
            // An end between requests may cross one, which its client sends again elsewhere.
            return answer != null && !"close".equalsIgnoreCase(answer.header("Connection"));
        } catch (SocketTimeoutException e) {
            wrong.add(id + " has no answer");
            return false;
        } catch (SocketException e) {
            return false;
        }
    }

    private static String id(int client, int number) {
        return (number % 2 == 0 ? "unsafe" : "safe") + client + "-" + number;
    }

    private void request(Peer.Client connection, String id) {
        String requestClass = id.startsWith("unsafe") ? "unsafe" : "safe";
        try {
            connection.socket.setSoTimeout((int) REMAINING_MS + SLACK_MS);
            connection.send(SidecarProcess.get(id, requestClass, REMAINING_MS));
            Peer.Message answer = connection.answer();
            if (answer == null) {
                wrong.add(id + " was closed with no answer");
            } else if (answer.head().startsWith("HTTP/1.1 200")
                    && !answer.body().equals(id)) {
                wrong.add(id + " got the answer of another: " + answer.body());
            }
        } catch (IOException e) {
            wrong.add(id + ": " + e);
        }
    }

    private interface Client {
        void run(int number) throws IOException;
    }

    private void play(Client client) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int n = 0; n < CLIENTS; n++) {
            int number = n;
            Thread thread = new Thread(() -> {
                try {
                    client.run(number);
                } catch (IOException e) {
                    wrong.add("client " + number + ": " + e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void check(Call call) {
        faults.clear();
        assertEquals(List.of(), List.copyOf(wrong), () -> call + ": " + wrong.size() + " wrong");
        assertEquals(
                List.of(),
                runs.entrySet().stream()
                        .filter(e -> e.getKey().startsWith("unsafe") && e.getValue() > 1)
                        .toList());
        assertEquals(0, sidecar.violations());
    }
}
