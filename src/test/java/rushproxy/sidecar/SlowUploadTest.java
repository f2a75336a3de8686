package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The time of a request runs from when its client wrote the last byte, also where its server does not read it. */
@Timeout(60)
class SlowUploadTest {
    private static final int BODY_BYTES = 400_000;
    private static final int LARGE_BODY_BYTES = 1_000_000;
    private static final int PIECE_BYTES = 20_000;
    private static final int FIRST_BYTES = 8_000;
    /** At 50 ms each a server reads half a megabyte a second, which is too slow for these bodies. */
    private static final int STEADY_BYTES = 25_000;

    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final int STEADY_BODY_BYTES = 1_500_000;
    private static final int MANY_BODIES = 10;
    private static final int MANY_BODY_BYTES = 2_000_000;
    private static final long REMAINING_MS = 600;
    /** A final response is due half a second after its time; limits on sockets have 50 ms more. */
    private static final long DUE_MS = REMAINING_MS + 500 + 50;

    private static String head(int bodyBytes, boolean chunked) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: a1\r\nX-Lane: c\r\nX-Remaining-Ms: " + REMAINING_MS + "\r\n"
                + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bodyBytes) + "\r\n\r\n";
    }

    private static String piece(boolean chunked) {
        String bytes = "x".repeat(PIECE_BYTES);
        return chunked ? Integer.toHexString(PIECE_BYTES) + "\r\n" + bytes + "\r\n" : bytes;
    }

    /** Writes the body with a pause before each piece. Returns when the last byte was written. */
    private static long write(TestServer.Client client, int bodyBytes, boolean chunked, long pauseMs) throws Exception {
        OutputStream out = client.socket.getOutputStream();
        for (int i = 0; i < bodyBytes / PIECE_BYTES; i++) {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            out.write(piece(chunked).getBytes());
        }
        if (chunked) {
            out.write("0\r\n\r\n".getBytes());
        }
        return System.nanoTime();
    }

    private static void pause(long ms) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }

    private static void readAndStop(InputStream in) throws IOException {
        in.readNBytes(FIRST_BYTES);
        pause(20_000);
    }

    private static void readSlowly(InputStream in) throws IOException {
        while (in.readNBytes(FIRST_BYTES).length == FIRST_BYTES) {
            pause(100);
        }
    }

    /** Has a body written at once to such a server, and returns how long after its last byte the final response came. */
    private static long delayOfFailureMs(TestServer.BodyReader bodyReader, int bodyBytes, boolean chunked)
            throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {}).bodyReader = bodyReader;
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(head(bodyBytes, chunked));
                long writtenNanos = write(client, bodyBytes, chunked, 0);
                assertEquals(502, client.status());
                return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenNanos);
            }
        }
    }

    private static void assertInTime(long tookMs) {
        assertTrue(tookMs <= DUE_MS, tookMs + " ms after the last byte");
    }

    /** Guards against final responses that come seconds late because the time of a body counts from when it is read. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aServerThatStopsReadingDoesNotDelayTheFinalResponse(boolean chunked) throws Exception {
        assertInTime(delayOfFailureMs((message, in) -> readAndStop(in), BODY_BYTES, chunked));
    }

    /** Guards against the same where the server reads slowly. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aServerThatReadsSlowlyDoesNotDelayTheFinalResponse(boolean chunked) throws Exception {
        assertInTime(delayOfFailureMs((message, in) -> readSlowly(in), BODY_BYTES, chunked));
    }

    /** Guards against the same where much of the body lies in the client's own socket. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aBodyThatTheClientsSocketHoldsDoesNotDelayTheFinalResponse(boolean chunked) throws Exception {
        assertInTime(delayOfFailureMs((message, in) -> readAndStop(in), LARGE_BODY_BYTES, chunked));
        assertInTime(delayOfFailureMs((message, in) -> readSlowly(in), LARGE_BODY_BYTES, chunked));
    }

    private static void readSteadily(InputStream in) throws IOException {
        while (in.readNBytes(STEADY_BYTES).length == STEADY_BYTES) {
            pause(50);
        }
    }

    /** Guards against a server that renews the time of a body by reading on, faster or slower (review, case 7). */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aServerThatReadsSteadilyDoesNotDelayTheFinalResponse(boolean chunked) throws Exception {
        assertInTime(delayOfFailureMs((message, in) -> readSteadily(in), STEADY_BODY_BYTES, chunked));
    }

    /** Guards against the same where many bodies take the memory for reading ahead, and the last bytes are not seen. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bodiesWithoutMemoryForReadingAheadAreAnsweredInTime(boolean chunked) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {}).bodyReader = (message, in) -> readSteadily(in);
            rig.start();
            List<FutureTask<Long>> delays = new ArrayList<>();
            for (int i = 0; i < MANY_BODIES; i++) {
                String id = "X-Txn: b" + i;
                FutureTask<Long> delay = new FutureTask<>(() -> {
                    try (TestServer.Client client = rig.client()) {
                        client.send(head(MANY_BODY_BYTES, chunked).replace("X-Txn: a1", id));
                        long writtenNanos = write(client, MANY_BODY_BYTES, chunked, 0);
                        assertEquals(502, client.status());
                        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenNanos);
                    }
                });
                delays.add(delay);
                new Thread(delay).start();
            }
            for (FutureTask<Long> delay : delays) {
                assertInTime(delay.get());
            }
        }
    }

    /** Guards against a client that still writes and is failed, because its socket might hold the rest while its server pauses. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientThatPausesBesideAServerThatPausesIsServed(boolean chunked) throws Exception {
        CountDownLatch reached = new CountDownLatch(1);
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> connection.answer("200 OK", "", "served")).bodyReader =
                    (message, in) -> {
                        reached.countDown();
                        pause(700);
                        readBody(in, 2 * LARGE_BODY_BYTES, chunked);
                    };
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(head(2 * LARGE_BODY_BYTES, chunked));
                OutputStream out = client.socket.getOutputStream();
                for (int i = 0; i < LARGE_BODY_BYTES / PIECE_BYTES; i++) {
                    out.write(piece(chunked).getBytes());
                }
                assertTrue(reached.await(20, TimeUnit.SECONDS));
                pause(900);
                write(client, LARGE_BODY_BYTES, chunked, 0);
                assertEquals(200, client.status());
            }
        }
    }

    /** Reads to the end of the body, in whatever chunks it comes. */
    private static void readBody(InputStream in, int bodyBytes, boolean chunked) throws IOException {
        if (!chunked) {
            in.readNBytes(bodyBytes);
            return;
        }
        InputStream buffered = new BufferedInputStream(in);
        for (int at = 0, next; at < LAST_CHUNK.length() && (next = buffered.read()) >= 0; ) {
            at = next == LAST_CHUNK.charAt(at) ? at + 1 : next == LAST_CHUNK.charAt(0) ? 1 : 0;
        }
    }

    /** Guards against a slow writer that is cut off because its server has not read for longer than the request's time. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aSlowWriterToASlowServerIsServed(boolean chunked) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> connection.answer("200 OK", "", "served")).bodyReader =
                    (message, in) -> {
                        pause(1_800);
                        readBody(in, BODY_BYTES, chunked);
                    };
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(head(BODY_BYTES, chunked));
                write(client, BODY_BYTES, chunked, 100);
                assertEquals(200, client.status());
            }
        }
    }
}
