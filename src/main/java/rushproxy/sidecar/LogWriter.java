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
final class LogWriter {
    /** Characters that wait to be written, of all lines together. */
    static final int MOST_WAITING = 512 * 1024;

    private static final long FLUSH_LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TELL_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final PrintStream to;
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    /** Characters of the lines that are not written yet. */
    private final AtomicInteger waiting = new AtomicInteger();

    private final AtomicInteger dropped = new AtomicInteger();
    private final Thread thread;

    /** Begins to write to the stream; the thread lasts as long as the process. */
    LogWriter(PrintStream to) {
        this.to = to;
        thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes the line, or drops it. Waits for nothing. */
    void write(String line) {
        if (waiting.addAndGet(line.length()) <= MOST_WAITING) {
            lines.add(line);
        } else {
            waiting.addAndGet(-line.length());
            dropped.incrementAndGet();
        }
        LockSupport.unpark(thread);
    }

    /** Waits until all lines are written, or for so long at most. */
    void flush(long mostMs) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        while (waiting.get() > 0 && System.nanoTime() - untilNanos < 0) {
            LockSupport.parkNanos(FLUSH_LOOK_NANOS);
        }
    }

    private void run() {
        while (true) {
            String line = lines.poll();
            if (line != null) {
                tryToPrint(line);
                waiting.addAndGet(-line.length());
            } else if (dropped.get() > 0) {
                tellDropped();
            } else {
                LockSupport.park(this);
            }
        }
    }

    /** For want of memory one line is lost, and not the log. */
    private void tryToPrint(String line) {
        try {
            print(line);
        } catch (RuntimeException | Error e) {
            dropped.incrementAndGet();
        }
    }

    /** Memory may lack for this line too: then it is tried again later. */
    private void tellDropped() {
        int told = dropped.get();
        try {
            print("rushproxy: " + told + " lines of the log were dropped: nobody read it, or there was no memory\n");
            dropped.addAndGet(-told);
        } catch (RuntimeException | Error e) {
            LockSupport.parkNanos(this, TELL_AGAIN_NANOS);
        }
    }

    private void print(String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        to.write(bytes, 0, bytes.length);
        to.flush();
    }
}
