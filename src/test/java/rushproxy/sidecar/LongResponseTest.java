package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Long responses that a server writes slowly pass on past the deadline; one that is cut can be told from a whole one. */
@Timeout(60)
class LongResponseTest {
    private static final int LUMPS = 10;
    private static final int LUMP_BYTES = 20_000;
    private static final int LUMP_PAUSE_MS = 200;
    private static final long REMAINING_MS = 600;
    /** A final response is due half a second after its time; limits on sockets have 50 ms more. */
    private static final long END_MS = REMAINING_MS + 500 + 50;

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String CLOSE = "Connection: close\r\n";
    private static final List<String> FRAMINGS =
            List.of(CHUNKED, CLOSE, "Content-Length: " + LUMPS * LUMP_BYTES + "\r\n");
    private static final List<String> VERSIONS = List.of("HTTP/1.1", "HTTP/1.0");

    /** What a client saw of a response: its bytes of content, and how it ended. */
    private record Seen(int contentBytes, boolean isWhole) {}

    private static void sendLumps(TestServer.Connection connection, String framing, int count) throws IOException {
        connection.raw("HTTP/1.1 200 OK\r\n" + framing + "\r\n");
        String lump = "x".repeat(LUMP_BYTES);
        for (int i = 0; i < count; i++) {
            pause();
            connection.raw(framing.equals(CHUNKED) ? Integer.toHexString(LUMP_BYTES) + "\r\n" + lump + "\r\n" : lump);
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(LUMP_PAUSE_MS);
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }

    private static void end(TestServer.Connection connection, String framing) throws IOException {
        if (framing.equals(CHUNKED)) {
            connection.raw("0\r\n\r\n");
        } else if (framing.equals(CLOSE)) {
            connection.socket().close();
        }
    }

    private static Seen read(TestServer.Client client) throws IOException {
        StringBuilder text = new StringBuilder();
        boolean isReset = false;
        try {
            for (int next;
                    !isComplete(text) && (next = client.socket.getInputStream().read()) >= 0; ) {
                text.append((char) next);
            }
        } catch (SocketException e) {
            isReset = true;
        }
        int contentBytes = (int) text.chars().filter(c -> c == 'x').count();
        return new Seen(contentBytes, isFramed(text) ? isComplete(text) : !isReset);
    }

    private static boolean isFramed(StringBuilder text) {
        String head = text.substring(0, Math.max(0, text.indexOf("\r\n\r\n"))).toLowerCase(java.util.Locale.ROOT);
        return head.contains("chunked") || head.contains("content-length");
    }

    private static boolean isComplete(StringBuilder text) {
        int length = text.length();
        if (length < 5 || text.charAt(length - 1) != '\n' && text.charAt(length - 1) != 'x') {
            return false;
        }
        String tail = text.substring(Math.max(0, length - 7));
        int body = text.indexOf("\r\n\r\n") + 4;
        return tail.equals("\r\n0\r\n\r\n") && text.indexOf("chunked") >= 0
                || text.indexOf("ontent-length: 200000") >= 0 && body > 4 && length - body == LUMPS * LUMP_BYTES;
    }

    /** Guards against a long response that is cut at the deadline because its length is not known. */
    @Test
    void aLongResponseInLumpsIsNotCutAtItsDeadline() throws Exception {
        List<String> wrong = new ArrayList<>();
        for (String framing : FRAMINGS) {
            for (String version : VERSIONS) {
                try (SidecarRig rig = new SidecarRig()) {
                    rig.addUpstream((message, connection) -> {
                        sendLumps(connection, framing, LUMPS);
                        end(connection, framing);
                    });
                    rig.start();
                    try (TestServer.Client client = rig.client()) {
                        client.send(SidecarRig.getRequest("a1", REMAINING_MS).replace("HTTP/1.1", version));
                        Seen seen = read(client);
                        if (!seen.equals(new Seen(LUMPS * LUMP_BYTES, true))) {
                            wrong.add(framing.trim() + ", " + version + ": " + seen);
                        }
                    }
                }
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** Guards against a response that is cut off and looks whole, or ends after the time of its final response. */
    @Test
    void aLongResponseThatStopsIsSeenToBeCutInTime() throws Exception {
        List<String> wrong = new ArrayList<>();
        for (String framing : List.of(CHUNKED, CLOSE)) {
            for (String version : VERSIONS) {
                try (SidecarRig rig = new SidecarRig()) {
                    rig.addUpstream((message, connection) -> sendLumps(connection, framing, 2));
                    rig.start();
                    try (TestServer.Client client = rig.client()) {
                        long sentNanos = System.nanoTime();
                        client.send(SidecarRig.getRequest("a1", REMAINING_MS).replace("HTTP/1.1", version));
                        Seen seen = read(client);
                        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                        if (seen.isWhole || tookMs > END_MS) {
                            wrong.add(framing.trim() + ", " + version + ": " + seen + " after " + tookMs + " ms");
                        }
                    }
                }
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** Pieces that come as fast as a client may send a body, but for their size. */
    private static void sendAtPace(TestServer.Connection connection, String framing, int pieceBytes, long everyMs)
            throws Exception {
        connection.raw("HTTP/1.1 200 OK\r\n" + framing + "\r\n");
        String piece = "x".repeat(pieceBytes);
        for (int sent = 0; sent < LUMPS * LUMP_BYTES; sent += pieceBytes) {
            connection.raw(framing.equals(CHUNKED) ? Integer.toHexString(pieceBytes) + "\r\n" + piece + "\r\n" : piece);
            TimeUnit.MILLISECONDS.sleep(everyMs);
        }
        end(connection, framing);
    }

    /** Guards against a response that is begun and then cut off between two of its pieces (review, case 8). */
    @ParameterizedTest
    @CsvSource({"40000, 600, 300", "40000, 600, 700", "4000, 60, 300"})
    void aResponseThatComesAtAPaceIsPassedOnWhole(int pieceBytes, long everyMs, long remainingMs) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (String framing : List.of(CHUNKED, CLOSE)) {
            for (String version : VERSIONS) {
                try (SidecarRig rig = new SidecarRig()) {
                    rig.addUpstream((message, connection) -> {
                        try {
                            sendAtPace(connection, framing, pieceBytes, everyMs);
                        } catch (Exception e) {
                            throw new IOException(e);
                        }
                    });
                    rig.start();
                    try (TestServer.Client client = rig.client()) {
                        client.send(SidecarRig.getRequest("a1", remainingMs).replace("HTTP/1.1", version));
                        Seen seen = read(client);
                        if (!seen.equals(new Seen(LUMPS * LUMP_BYTES, true))) {
                            wrong.add(framing.trim() + ", " + version + ": " + seen);
                        }
                    }
                }
            }
        }
        assertEquals(List.of(), wrong);
    }
}
