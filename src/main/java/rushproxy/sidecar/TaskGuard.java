package rushproxy.sidecar;

import io.netty.channel.Channel;
import rushproxy.sidecar.Invariants.Breach;

/**
 * Wraps tasks of connections, calls and requests for the event loop. The loop itself only logs a task that fails, and
 * what the task was in the middle of would stay as it is: here the failure is counted and ends its owner in order.
 */
final class TaskGuard {
    private final Invariants invariants;

    TaskGuard(Invariants invariants) {
        this.invariants = invariants;
    }

    /** A failure reaches the handlers of the connection as an exception, which closes it. */
    Runnable ofConnection(Channel channel, Runnable task) {
        return guard(task, failure -> channel.pipeline().fireExceptionCaught(failure));
    }

    /** A failure ends the call and closes its connection. */
    Runnable ofCall(UpstreamCall call, Runnable task) {
        return guard(task, failure -> call.fail());
    }

    /** A failure is followed by {@code end}. */
    Runnable ofRequest(String id, Runnable task, Runnable end) {
        return guard(task, failure -> {
            RequestLog.logState(id, "a task failed");
            end.run();
        });
    }

    private interface FailureHandler {
        void onFailure(RuntimeException failure);
    }

    private Runnable guard(Runnable task, FailureHandler handler) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                invariants.recordViolation(Breach.FAILED_TASK, "-", "had a task that failed");
                Log.error("a task failed", e);
                handler.onFailure(e);
            }
        };
    }
}
