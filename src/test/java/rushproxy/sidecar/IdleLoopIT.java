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

/** The event loop must not spin while system calls fail and clients are idle or misbehave. */
@Timeout(60)
class IdleLoopIT {
    private static final int CLIENTS = 8;
    /** Time for everything readable to be read. */
    private static final long SETTLED_MS = 500;

    private static final long MEASURED_MS = 1_000;

    @TempDir
    Path folder;

    private final List<TestServer.Client> clients = new ArrayList<>();

    /** The kernel's CPU time and number of voluntary context switches of a thread. */
    private record ThreadStats(long cpuMs, long waits) {
        static ThreadStats of(Path thread) throws Exception {
            long cpuMs = ThreadSchedStats.parse(Files.readString(thread.resolve("schedstat")))
                    .cpuMs();
            String waits = Files.readAllLines(thread.resolve("status")).stream()
                    .filter(line -> line.startsWith("voluntary_ctxt_switches"))
                    .findFirst()
                    .orElseThrow();
            return new ThreadStats(cpuMs, Long.parseLong(waits.replaceAll("\\D", "")));
        }
    }

    private static Path eventLoopThread(SidecarProcess sidecar) throws Exception {
        Path threads = Path.of("/proc", Long.toString(sidecar.process.pid()), "task");
        try (DirectoryStream<Path> all = Files.newDirectoryStream(threads)) {
            for (Path thread : all) {
                if (Files.readString(thread.resolve("comm")).startsWith("multiThreadIoEv")) {
                    return thread;
                }
            }
        }
        throw new AssertionError("no event loop thread found");
    }

    /** Opens clients of four kinds: one waits, one sends more than is buffered, one shuts down its output, one sends too much and resets. */
    private void openMisbehavingClients(SidecarProcess sidecar) throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            TestServer.Client client = sidecar.client();
            clients.add(client);
            client.send(SidecarProcess.getRequest("hangs" + clients.size(), "safe", 20_000));
            switch (i % 4) {
                case 1 -> client.send("x".repeat(2 * ClientInput.MAX_BUFFERED_BYTES));
                case 2 -> client.socket.shutdownOutput();
                case 3 ->
                    new TestServer.Connection(client.send("x".repeat(2 * ClientInput.MAX_BUFFERED_BYTES)).socket)
                            .reset();
                default -> {}
            }
        }
    }

    /** Guards against failing calls that are retried in every iteration of the loop, such as a read that is interrupted each time. */
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
    void loopDoesNotSpinWhileCallsFail(Call call) throws Exception {
        Optional<Path> library = SystemFaults.compile(folder.resolve("library"));
        Assumptions.assumeTrue(library.isPresent(), "no C compiler on this machine");
        SystemFaults faults = SystemFaults.create(library.get(), folder.resolve("control"), 7);
        try (FakeServices services = new FakeServices()) {
            services.addServers(2, (message, line) -> {});
            SidecarProcess sidecar = services.start(folder, faults.environment());
            openMisbehavingClients(sidecar);
            faults.setProbability(call, 1);
            openMisbehavingClients(sidecar);
            Thread.sleep(SETTLED_MS);
            Path loop = eventLoopThread(sidecar);
            ThreadStats before = ThreadStats.of(loop);
            Thread.sleep(MEASURED_MS);
            ThreadStats after = ThreadStats.of(loop);
            long cpuMs = after.cpuMs - before.cpuMs;
            long waits = after.waits - before.waits;
            // The heartbeat alone makes the loop wait once in each interval.
            assertTrue(
                    cpuMs * 1000 <= waits * EventLoopDelay.HEARTBEAT_INTERVAL_US,
                    () -> call + ": it ran for " + cpuMs + " ms and waited " + waits + " times");
        } finally {
            for (TestServer.Client client : clients) {
                client.close();
            }
        }
    }
}
