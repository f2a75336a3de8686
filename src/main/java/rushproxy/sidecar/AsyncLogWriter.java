package rushproxy.sidecar;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Writes log lines to a stream on a separate thread, so that a slow or stalled reader of the stream never blocks the threads that log.
 * Lines that exceed the limit of pending characters are dropped, and their number is logged later.
 */
final class AsyncLogWriter {
    /** Limit on the characters of all lines not written yet. */
    static final int MAX_PENDING_CHARS = 512 * 1024;

    private static final long FLUSH_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long DROP_REPORT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final PrintStream out;
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingChars = new AtomicInteger();

    private final AtomicInteger droppedLines = new AtomicInteger();
    private final Thread thread;

    /** Starts a daemon thread that writes to {@code out}. */
    AsyncLogWriter(PrintStream out) {
        this.out = out;
        thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues the line, or drops it if too much is pending. Never blocks. */
    void write(String line) {
        if (pendingChars.addAndGet(line.length()) <= MAX_PENDING_CHARS) {
            lines.add(line);
        } else {
            pendingChars.addAndGet(-line.length());
            droppedLines.incrementAndGet();
        }
        LockSupport.unpark(thread);
    }

    /** Waits until all lines are written, but no longer than {@code timeoutMs}. */
    void flush(long timeoutMs) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (pendingChars.get() > 0 && System.nanoTime() - deadlineNanos < 0) {
            LockSupport.parkNanos(FLUSH_POLL_NANOS);
        }
    }

    private void run() {
        while (true) {
            String line = lines.poll();
            if (line != null) {
                printOrDrop(line);
                pendingChars.addAndGet(-line.length());
            } else if (droppedLines.get() > 0) {
                reportDropped();
            } else {
                LockSupport.park(this);
            }
        }
    }

    /** An error, such as lack of memory, costs one line and not the log thread. */
    private void printOrDrop(String line) {
        try {
            print(line);
        } catch (RuntimeException | Error e) {
            droppedLines.incrementAndGet();
        }
    }

    /** Logs the number of dropped lines. Retried later if this fails too, as when memory is short. */
    private void reportDropped() {
        int count = droppedLines.get();
        try {
            print("rushproxy: " + count + " log lines were dropped: the reader stalled or memory was short\n");
            droppedLines.addAndGet(-count);
        } catch (RuntimeException | Error e) {
            LockSupport.parkNanos(this, DROP_REPORT_RETRY_NANOS);
        }
    }

    private void print(String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
    }
}
