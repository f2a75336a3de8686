package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Time-outs of what waits for a socket: each runs after that socket has been read since it was due, since after a hold-up what it waits
 * for may lie there. A loop that comes late to it has looked at its sockets already; another look would take another turn, as long as the last.
 */
final class TimeOuts {
    private final EventLoop loop;
    private final StallAwareClock time;

    TimeOuts(EventLoop loop, StallAwareClock time) {
        this.loop = loop;
        this.time = time;
    }

    /**
     * {@code readsNow}: reads the socket that is waited for, and tells whether it could. The loop's look passes over one whose registration is
     * being made anew, or whose reads fail for a moment.
     */
    Future<?> at(long dueUs, BooleanSupplier readsNow, Runnable work) {
        return loop.schedule(
                () -> {
                    if (time.lastPollStartUs() >= dueUs && readsNow.getAsBoolean()) {
                        // Behind the tasks by which the look tells of ends.
                        loop.execute(work);
                    } else {
                        SocketPolling.runAfterNextPoll(loop, work);
                    }
                },
                dueUs - time.clock().nowUs(),
                TimeUnit.MICROSECONDS);
    }
}
