package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Timeouts of operations that wait for data on a socket. Each runs only after that socket has been read since the
 * timeout was due, because after a delay of the event loop the data may already have arrived. If the loop has read its
 * sockets since then the timeout runs at once, since another read would cost another iteration, as long as the last.
 */
final class SocketTimeouts {
    private final EventLoop loop;
    private final StallAwareClock time;

    SocketTimeouts(EventLoop loop, StallAwareClock time) {
        this.loop = loop;
        this.time = time;
    }

    /**
     * Schedules {@code work}. {@code readNow} reads the socket that is waited for and returns whether it could: the
     * loop skips sockets whose registration is being renewed or whose reads are failing.
     */
    Future<?> schedule(long dueUs, BooleanSupplier readNow, Runnable work) {
        return loop.schedule(
                () -> {
                    if (time.lastPollStartUs() >= dueUs && readNow.getAsBoolean()) {
                        // Behind the tasks in which the read reports the ends of connections.
                        loop.execute(work);
                    } else {
                        SocketPolling.runAfterNextPoll(loop, work);
                    }
                },
                dueUs - time.clock().nowUs(),
                TimeUnit.MICROSECONDS);
    }
}
