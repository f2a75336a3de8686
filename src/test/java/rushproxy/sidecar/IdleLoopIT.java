package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rushproxy.lab.node.SystemFaults;
import rushproxy.lab.node.SystemFaults.Call;

/** The event loop waits again and again while no call succeeds and clients do nothing, or nothing good. */
@Timeout(60)
class IdleLoopIT {
    private static final int CLIENTS = 8;
    /** By then all that can be read has been. */
    private static final long SETTLED_MS = 500;

    private static final long LOOKED_AT_MS = 1_000;

    @TempDir
    Path folder;

    private final List<Peer.Client> clients = new ArrayList<>();

    /** By the kernel: how long the thread has run, and how often it has waited. */
    private record Figures(long ranMs, long waits) {
        static Figures of(Path thread) throws Exception {
            long ranMs = ThreadFigures.parse(Files.readString(thread.resolve("schedstat")))
                    .ranMs();
            String waits = Files.readAllLines(thread.resolve("status")).stream()
                    .filter(line -> line.startsWith("voluntary_ctxt_switches"))
                    .findFirst()
                    .orElseThrow();
            return new Figures(ranMs, Long.parseLong(waits.replaceAll("\\D", "")));
        }
    }

    private static Path loopOf(SidecarProcess sidecar) throws Exception {
        Path threads = Path.of("/proc", Long.toString(sidecar.process.pid()), "task");
        try (DirectoryStream<Path> all = Files.newDirectoryStream(threads)) {
            for (Path thread : all) {
                if (Files.readString(thread.resolve("comm")).startsWith("multiThreadIoEv")) {
                    return thread;
                }
            }
        }
        throw new AssertionError("there is no loop");
    }

    /** Of each four one waits, one has sent more than is kept, one ends its side with its request, and one resets all of that. */
    private void clientsThatDoNothingGood(SidecarProcess sidecar) throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            Peer.Client client = sidecar.client();
            clients.add(client);
            client.send(SidecarProcess.get("hangs" + clients.size(), "safe", 20_000));
            switch (i % 4) {
                case 1 -> client.send("x".repeat(2 * ClientInput.MOST_KEPT));
                case 2 -> client.socket.shutdownOutput();
                case 3 -> new Peer.Line(client.send("x".repeat(2 * ClientInput.MOST_KEPT)).socket).reset();
                default -> {}
            }
        }
    }

    /** Guards against a thread that did not wait for anything: a read that was interrupted again and again was made in each turn of the loop. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "READ_INTERRUPTED",
                "READ_FAILS",
                "SEND_FAILS",
                "ACCEPT_FAILS",
                "REGISTER_FAILS",
                "NAME_FAILS",
                "OPTION_FAILS",
                "SHUTDOWN_FAILS",
                "CONNECT_FAILS"
            })
    void theLoopWaitsWhileCallsFail(Call call) throws Exception {
        Optional<Path> library = SystemFaults.compile(folder.resolve("library"));
        Assumptions.assumeTrue(library.isPresent(), "no C compiler on this machine");
        SystemFaults faults = SystemFaults.create(library.get(), folder.resolve("control"), 7);
        try (StandIns standIns = new StandIns()) {
            standIns.servers(2, (message, line) -> {});
            SidecarProcess sidecar = standIns.start(folder, faults.environment());
            clientsThatDoNothingGood(sidecar);
            faults.setProbability(call, 1);
            clientsThatDoNothingGood(sidecar);
            Thread.sleep(SETTLED_MS);
            Path loop = loopOf(sidecar);
            Figures before = Figures.of(loop);
            Thread.sleep(LOOKED_AT_MS);
            Figures after = Figures.of(loop);
            long ranMs = after.ranMs - before.ranMs;
            long waits = after.waits - before.waits;
            // Its heartbeat alone is a wait in each of these.
            assertTrue(
                    ranMs * 1000 <= waits * LoopDelay.BEAT_US,
                    () -> call + ": it ran for " + ranMs + " ms and waited " + waits + " times");
        } finally {
            for (Peer.Client client : clients) {
                client.close();
            }
        }
    }
}
