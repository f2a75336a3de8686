package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Time-outs of what waits for a socket: each runs after every socket has been looked at since it was due, since after a hold-up what it
 * waits for may lie there. A loop that comes late to it has looked already; another look would take another turn, as long as the last.
 */
final class TimeOuts {
    private final EventLoop loop;
    private final RunningTime time;

    TimeOuts(EventLoop loop, RunningTime time) {
        this.loop = loop;
        this.time = time;
    }

    Future<?> at(long dueUs, Runnable work) {
        return loop.schedule(
                () -> {
                    if (time.lookedAtUs() >= dueUs) {
                        // Behind the tasks by which the look tells of ends.
                        loop.execute(work);
                    } else {
                        SocketLook.before(loop, work);
                    }
                },
                dueUs - time.clock().now(),
                TimeUnit.MICROSECONDS);
    }
}
