package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
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

    /** Guards against a slow writer that is cut off because its server has not read for longer than the request's time. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aSlowWriterToASlowServerIsServed(boolean chunked) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> connection.answer("200 OK", "", "served")).bodyReader =
                    (message, in) -> {
                        pause(1_800);
                        in.readNBytes(
                                chunked
                                        ? BODY_BYTES / PIECE_BYTES * piece(true).length() + "0\r\n\r\n".length()
                                        : BODY_BYTES);
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
