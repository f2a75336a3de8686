package rushproxy.sidecar;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Writes lines to a stream on a thread of its own, so that a reader that is slow or gone holds up nobody who logs. Lines for which there
 * is no room are dropped, and their number is written once there is room again.
 */
final class AsyncLogWriter {
    /** Characters that wait to be written, of all lines together. */
    static final int MAX_PENDING_CHARS = 512 * 1024;

    private static final long FLUSH_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long DROP_REPORT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final PrintStream out;
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    /** Characters of the lines that are not written yet. */
    private final AtomicInteger pendingChars = new AtomicInteger();

    private final AtomicInteger droppedLines = new AtomicInteger();
    private final Thread thread;

    /** Begins to write to the stream; the thread lasts as long as the process. */
    AsyncLogWriter(PrintStream to) {
        this.out = to;
        thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes the line, or drops it. Waits for nothing. */
    void write(String line) {
        if (pendingChars.addAndGet(line.length()) <= MAX_PENDING_CHARS) {
            lines.add(line);
        } else {
            pendingChars.addAndGet(-line.length());
            droppedLines.incrementAndGet();
        }
        LockSupport.unpark(thread);
    }

    /** Waits until all lines are written, or for so long at most. */
    void flush(long mostMs) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        while (pendingChars.get() > 0 && System.nanoTime() - untilNanos < 0) {
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

    /** For want of memory one line is lost, and not the log. */
    private void printOrDrop(String line) {
        try {
            print(line);
        } catch (RuntimeException | Error e) {
            droppedLines.incrementAndGet();
        }
    }

    /** Memory may lack for this line too: then it is tried again later. */
    private void reportDropped() {
        int told = droppedLines.get();
        try {
            print("rushproxy: " + told + " lines of the log were dropped: nobody read it, or there was no memory\n");
            droppedLines.addAndGet(-told);
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
