package rushproxy.sidecar;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import rushproxy.Balancer;

/**
 * Serializes all calls to the balancer. Actions that the balancer takes during a call are queued until the call has
 * returned, so that none re-enters it. An exception of the balancer or of an action is logged, and the calls and
 * actions behind it still run.
 */
final class BalancerDispatcher {
    private final ArrayDeque<Runnable> pendingCalls = new ArrayDeque<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private Balancer balancer;
    private boolean running;

    /** {@code factory} creates the balancer, which may take actions in its constructor. */
    void start(Function<Balancer.Actions, Balancer> factory, Balancer.Actions actions) {
        pendingCalls.add(() -> balancer = factory.apply(deferred(actions)));
        run();
    }

    /** Calls the balancer, now or after the current call. {@code onFailure} runs if the call throws. */
    void call(Consumer<Balancer> call, Runnable onFailure) {
        pendingCalls.add(() -> {
            try {
                call.accept(balancer);
            } catch (RuntimeException e) {
                Log.error("the module failed", e);
                pendingActions.add(onFailure);
            }
        });
        if (!running) {
            run();
        }
    }

    /**
     * Asks the balancer a question that changes no state; this is allowed while an action runs. False if the balancer
     * fails.
     */
    boolean query(Predicate<Balancer> predicate) {
        try {
            return predicate.test(balancer);
        } catch (RuntimeException e) {
            Log.error("the module failed", e);
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
                        Log.error("an action failed", e);
                    }
                }
            }
        } finally {
            running = false;
        }
    }

    private Balancer.Actions deferred(Balancer.Actions actions) {
        return new Balancer.Actions() {
            @Override
            public void send(String request, String upstream, long untilUs) {
                pendingActions.add(() -> actions.send(request, upstream, untilUs));
            }

            @Override
            public void refuse(String request, long retryAfterUs) {
                pendingActions.add(() -> actions.refuse(request, retryAfterUs));
            }

            @Override
            public void fail(String request) {
                pendingActions.add(() -> actions.fail(request));
            }

            @Override
            public void cancel(String request, int attempt) {
                pendingActions.add(() -> actions.cancel(request, attempt));
            }

            @Override
            public void probe(String upstream) {
                pendingActions.add(() -> actions.probe(upstream));
            }

            @Override
            public void subscribe() {
                pendingActions.add(actions::subscribe);
            }

            @Override
            public void sendToPeer(int peer, byte[] message) {
                pendingActions.add(() -> actions.sendToPeer(peer, message));
            }

            @Override
            public void closeIdleConnections(String upstream) {
                pendingActions.add(() -> actions.closeIdleConnections(upstream));
            }

            @Override
            public void startTimer(String mark, long delayUs) {
                pendingActions.add(() -> actions.startTimer(mark, delayUs));
            }

            @Override
            public void log(String text) {
                pendingActions.add(() -> actions.log(text));
            }

            @Override
            public void reportEvidence(String upstream, Balancer.Evidence kind, double factor) {
                pendingActions.add(() -> actions.reportEvidence(upstream, kind, factor));
            }
        };
    }
}
