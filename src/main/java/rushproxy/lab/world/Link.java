package rushproxy.lab.world;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The network under one TCP connection of a node to a far end that the laboratory plays: it delays what comes and goes,
 * keeps the order of each way, and holds what a cut keeps from passing until that is over, as a kernel that sends again
 * does. It outlives its connection: what was on its way inward when the node closed arrives all the same, so that a
 * request may come long after its sender has given it up. Ends by itself when nothing is on its way.
 */
final class Link {
    private static final long CUT_RETRY_US = 20_000;

    private final EventLoop loop;
    private final Network network;
    private final Network.Endpoint node;
    private final Network.Endpoint far;
    private final Direction inward = new Direction(true);
    private final Direction outward = new Direction(false);

    /** Inward is from the node. */
    Link(EventLoop loop, Network network, Network.Endpoint node, Network.Endpoint far) {
        this.loop = loop;
        this.network = network;
        this.node = node;
        this.far = far;
        // Two passes of a handshake come before the first byte.
        inward.earliestArrivalNanos = System.nanoTime() + 2_000 * network.delayUs(node, far);
    }

    void sendInward(Runnable deliver) {
        inward.add(deliver);
    }

    void sendOutward(Runnable deliver) {
        outward.add(deliver);
    }

    /** Nobody is there any more to hear of what is on its way outward. */
    void dropOutward() {
        outward.inTransit.clear();
    }

    private final class Direction {
        private record InTransit(long dueNanos, Runnable deliver) {}

        private final boolean inward;
        private final ArrayDeque<InTransit> inTransit = new ArrayDeque<>();
        private long earliestArrivalNanos;
        private Future<?> timer;

        Direction(boolean inward) {
            this.inward = inward;
        }

        void add(Runnable deliver) {
            long us = inward ? network.delayUs(node, far) : network.delayUs(far, node);
            earliestArrivalNanos = Math.max(earliestArrivalNanos, System.nanoTime() + 1_000 * us);
            inTransit.add(new InTransit(earliestArrivalNanos, deliver));
            deliverDue();
        }

        private void deliverDue() {
            if (timer != null) {
                return;
            }
            while (!inTransit.isEmpty()) {
                boolean cut = inward ? network.isCut(node, far) : network.isCut(far, node);
                long waitNanos = cut ? CUT_RETRY_US * 1_000 : inTransit.peek().dueNanos - System.nanoTime();
                if (cut || waitNanos > 0) {
                    timer = loop.schedule(
                            () -> {
                                timer = null;
                                deliverDue();
                            },
                            waitNanos,
                            TimeUnit.NANOSECONDS);
                    return;
                }
                inTransit.poll().deliver.run();
            }
        }
    }
}
