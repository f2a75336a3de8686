package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DelayedEventLoopTest {
    private static final long BUSY_MS = 100;
    private static final long IDLE_MS = 20;
    private static final long CLIENT_TIMEOUT_MS = 500;
    private static final int REQUESTS = 60;
    /** Spreads the requests over the busy and idle periods of the loop. */
    private static final long PAUSE_MS = 17;

    /** When a request was sent, accepted and due, and when its timeout ran. */
    private static final class RequestTimeline {
        long sentUs;
        long acceptedUs;
        long dueUs;
        long timedOutUs;
        long previousBusyUs;

        /** Whether it timed out too late, although accepted in time and delayed no longer than the loop had just been. */
        boolean isTooLate() {
            long marginUs = Math.min(CLIENT_TIMEOUT_MS * 1000 / 4, previousBusyUs + ResponseDeadlines.MIN_MARGIN_US);
            long deadlineUs = sentUs + CLIENT_TIMEOUT_MS * 1000;
            return timedOutUs > deadlineUs && acceptedUs <= deadlineUs - marginUs && timedOutUs - dueUs <= marginUs;
        }

        @Override
        public String toString() {
            return String.format(
                    "accepted %d, due %d, timed out %d us after it was sent, the loop busy for %d us before",
                    acceptedUs - sentUs, dueUs - sentUs, timedOutUs - sentUs, previousBusyUs);
        }
    }

    private final Map<String, RequestTimeline> timelines = new ConcurrentHashMap<>();
    private volatile long busyUs;

    private static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    private void keepBusy(SidecarRig rig) {
        long startUs = nowUs();
        try {
            TimeUnit.MILLISECONDS.sleep(BUSY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        busyUs = nowUs() - startUs;
        rig.sidecar.loop().schedule(() -> keepBusy(rig), IDLE_MS, TimeUnit.MILLISECONDS);
    }

    private Thread sendInBackground(SidecarRig rig, String id, long timeoutMs) {
        Thread client = new Thread(() -> {
            try (TestServer.Client connection = rig.client()) {
                connection.send(SidecarRig.getRequest(id, timeoutMs));
                long sentUs = nowUs();
                assertEquals(502, connection.status());
                timelines.get(id).sentUs = sentUs;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        client.start();
        return client;
    }

    /** Guards against measuring the loop's delay from a heartbeat that is late itself: a loop 100 ms late left a margin of only 80 ms. */
    @Test
    void deadlinesAllowForTheDelayOfTheLoop() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.settings = SidecarRig.SETTINGS.replace("\"objective_us\":300000", "\"objective_us\":800000");
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {
                RequestTimeline timeline = new RequestTimeline();
                timeline.acceptedUs = nowUs();
                timeline.dueUs = timeline.acceptedUs + r.remainingUs();
                timeline.previousBusyUs = busyUs;
                timelines.put(r.id(), timeline);
                out.send(r.id(), "u0", 0);
            };
            rig.onOutcome = (id, outcome, done, out) -> {
                RequestTimeline timeline = timelines.get(id);
                timeline.timedOutUs = nowUs();
                // The final due time: it may have moved since the request was accepted.
                rig.sidecar
                        .requests()
                        .deadlineUs(id)
                        .ifPresent(due -> timeline.dueUs = timeline.timedOutUs + due - new Clock().nowUs());
                out.fail(id);
            };
            rig.start();
            for (int i = 0; i < REQUESTS; i++) {
                sendInBackground(rig, "first" + i, 1).join();
            }
            rig.sidecar.loop().execute(() -> keepBusy(rig));
            TimeUnit.MILLISECONDS.sleep(5 * (BUSY_MS + IDLE_MS));
            Thread[] clients = new Thread[REQUESTS];
            for (int i = 0; i < REQUESTS; i++) {
                clients[i] = sendInBackground(rig, "a" + i, CLIENT_TIMEOUT_MS);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            }
            for (Thread client : clients) {
                client.join();
            }
            List<RequestTimeline> all = IntStream.range(0, REQUESTS)
                    .mapToObj(i -> timelines.get("a" + i))
                    .toList();
            assertEquals(
                    List.of(), all.stream().filter(RequestTimeline::isTooLate).toList());
        }
    }

    /** Guards against a late timeout that runs before the response waiting in the socket is read. */
    @Test
    void aResponseReceivedDuringAStallIsNotTimedOut() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            BlockingQueue<TestServer.Connection> lines = new LinkedBlockingQueue<>();
            rig.addUpstream((m, line) -> lines.add(line));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 800));
                TestServer.Connection line = lines.take();
                rig.stallLoop(900, () -> line.answer("200 OK", "", "in time"));
                assertEquals(200, client.status());
            }
        }
    }
}
