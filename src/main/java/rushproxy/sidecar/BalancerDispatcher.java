package rushproxy.sidecar;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import rushproxy.Balancer;

/**
 * The module and the one way in and out of it. What the module does during a call is kept until the call has
 * returned: no action re-enters it. An exception, the module's or a handler's, is logged and ends neither the
 * program nor what waits behind it.
 */
final class BalancerDispatcher {
    private final ArrayDeque<Runnable> pendingCalls = new ArrayDeque<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private Balancer balancer;
    private boolean running;

    /** {@code build} makes the module, which may act from its constructor on. */
    void start(Function<Balancer.Actions, Balancer> build, Balancer.Actions hands) {
        pendingCalls.add(() -> balancer = build.apply(deferred(hands)));
        run();
    }

    /** {@code broken} runs where the module could not take the call. */
    void call(Consumer<Balancer> call, Runnable broken) {
        pendingCalls.add(() -> {
            try {
                call.accept(balancer);
            } catch (RuntimeException e) {
                Log.trouble("the module failed", e);
                pendingActions.add(broken);
            }
        });
        if (!running) {
            run();
        }
    }

    /** A question that changes nothing, and may be asked while an action is carried out; no where the module fails. */
    boolean query(Predicate<Balancer> question) {
        try {
            return question.test(balancer);
        } catch (RuntimeException e) {
            Log.trouble("the module failed", e);
            return false;
        }
    }

    private void run() {
        running = true;
        try {
            for (Runnable call; (call = pendingCalls.poll()) != null; ) {
                call.run();
                for (Runnable action; (action = pendingActions.poll()) != null; ) {
                    try {
                        action.run();
                    } catch (RuntimeException e) {
                        Log.trouble("an action failed", e);
                    }
                }
            }
        } finally {
            running = false;
        }
    }

    private Balancer.Actions deferred(Balancer.Actions hands) {
        return new Balancer.Actions() {
            @Override
            public void send(String request, String upstream, long untilUs) {
                pendingActions.add(() -> hands.send(request, upstream, untilUs));
            }

            @Override
            public void refuse(String request, long retryAfterUs) {
                pendingActions.add(() -> hands.refuse(request, retryAfterUs));
            }

            @Override
            public void fail(String request) {
                pendingActions.add(() -> hands.fail(request));
            }

            @Override
            public void cancel(String request, int attempt) {
                pendingActions.add(() -> hands.cancel(request, attempt));
            }

            @Override
            public void probe(String upstream) {
                pendingActions.add(() -> hands.probe(upstream));
            }

            @Override
            public void subscribe() {
                pendingActions.add(hands::subscribe);
            }

            @Override
            public void tell(int peer, byte[] message) {
                pendingActions.add(() -> hands.tell(peer, message));
            }

            @Override
            public void close(String upstream) {
                pendingActions.add(() -> hands.close(upstream));
            }

            @Override
            public void timer(String mark, long delayUs) {
                pendingActions.add(() -> hands.timer(mark, delayUs));
            }

            @Override
            public void log(String text) {
                pendingActions.add(() -> hands.log(text));
            }

            @Override
            public void evidence(String upstream, Balancer.Evidence kind, double factor) {
                pendingActions.add(() -> hands.evidence(upstream, kind, factor));
            }
        };
    }
}
