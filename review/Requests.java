import java.util.concurrent.atomic.AtomicLong;

/** Requests as the protocol page words them. */
final class Requests {
    private static final AtomicLong LAST = new AtomicLong();
    private static final long SALT = System.nanoTime() & 0xffffffffL;

    private Requests() {}

    static String newId() {
        return String.format("%08x%08x", SALT, LAST.incrementAndGet());
    }

    /** A request of an unsafe class, without a key. */
    static String unsafe(String id, int remainingMs) {
        return "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id
                + "\r\nX-Lane: hive-move\r\nX-Remaining-Ms: " + remainingMs + "\r\nContent-Length: 4\r\n\r\nmove";
    }

    /** A request of a safe class. */
    static String safe(String id, String lane, int remainingMs) {
        return "GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id + "\r\nX-Lane: " + lane
                + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n\r\n";
    }
}
