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
    private static final long FREE_MS = 20;
    private static final long PATIENCE_MS = 500;
    private static final int REQUESTS = 60;
    /** Spreads the requests over the loop's busy and free times. */
    private static final long PAUSE_MS = 17;

    /** One request by the clock in microseconds: when it was sent, taken, due, and its time-out ran. */
    private static final class RequestTimeline {
        long sentUs;
        long takenUs;
        long dueUs;
        long ranUs;
        long busyBeforeUs;

        /** Too late for its client, though it was taken in time and the loop came no later to its time-out than it had come just before. */
        boolean isFault() {
            long marginUs = Math.min(PATIENCE_MS * 1000 / 4, busyBeforeUs + AnswerDeadlines.LEAST_MARGIN_US);
            long endUs = sentUs + PATIENCE_MS * 1000;
            return ranUs > endUs && takenUs <= endUs - marginUs && ranUs - dueUs <= marginUs;
        }

        @Override
        public String toString() {
            return String.format(
                    "taken %d, due %d, run %d us after it was sent, the loop busy for %d",
                    takenUs - sentUs, dueUs - sentUs, ranUs - sentUs, busyBeforeUs);
        }
    }

    private final Map<String, RequestTimeline> courses = new ConcurrentHashMap<>();
    private volatile long busyUs;

    private static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    private void beBusy(SidecarRig rig) {
        long beganUs = nowUs();
        try {
            TimeUnit.MILLISECONDS.sleep(BUSY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        busyUs = nowUs() - beganUs;
        rig.sidecar.loop().schedule(() -> beBusy(rig), FREE_MS, TimeUnit.MILLISECONDS);
    }

    private Thread ask(SidecarRig rig, String id, long patienceMs) {
        Thread client = new Thread(() -> {
            try (Peer.Client connection = rig.client()) {
                connection.send(SidecarRig.get(id, patienceMs));
                long sentUs = nowUs();
                assertEquals(502, connection.status());
                courses.get(id).sentUs = sentUs;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        client.start();
        return client;
    }

    /** The loop's delay was counted from a heartbeat that was late itself: answers were due 80 ms before their end on a loop 100 ms late. */
    @Test
    void anAnswerIsDueAsMuchEarlierAsTheLoopIsLate() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.settings = SidecarRig.SETTINGS.replace("\"objective_us\":300000", "\"objective_us\":800000");
            rig.upstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {
                RequestTimeline course = new RequestTimeline();
                course.takenUs = nowUs();
                course.dueUs = course.takenUs + r.remainingUs();
                course.busyBeforeUs = busyUs;
                courses.put(r.id(), course);
                out.send(r.id(), "u0", 0);
            };
            rig.onOutcome = (id, outcome, done, out) -> {
                RequestTimeline course = courses.get(id);
                course.ranUs = nowUs();
                // As it stands in the end: it may have been moved since the request was taken.
                rig.sidecar
                        .requests()
                        .dueUs(id)
                        .ifPresent(due -> course.dueUs = course.ranUs + due - new Clock().nowUs());
                out.fail(id);
            };
            rig.start();
            for (int i = 0; i < REQUESTS; i++) {
                ask(rig, "first" + i, 1).join();
            }
            rig.sidecar.loop().execute(() -> beBusy(rig));
            TimeUnit.MILLISECONDS.sleep(5 * (BUSY_MS + FREE_MS));
            Thread[] clients = new Thread[REQUESTS];
            for (int i = 0; i < REQUESTS; i++) {
                clients[i] = ask(rig, "a" + i, PATIENCE_MS);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            }
            for (Thread client : clients) {
                client.join();
            }
            List<RequestTimeline> all = IntStream.range(0, REQUESTS)
                    .mapToObj(i -> courses.get("a" + i))
                    .toList();
            assertEquals(
                    List.of(), all.stream().filter(RequestTimeline::isFault).toList());
        }
    }

    /** An answer that lies in its socket as its time-out comes late is read first. */
    @Test
    void anAnswerThatCameInAHoldUpIsNotTimedOut() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            BlockingQueue<Peer.Line> lines = new LinkedBlockingQueue<>();
            rig.upstream((m, line) -> lines.add(line));
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.get("a1", 800));
                Peer.Line line = lines.take();
                rig.stallLoop(900, () -> line.answer("200 OK", "", "in time"));
                assertEquals(200, client.status());
            }
        }
    }
}
