package rushproxy.lab.world;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The simulated network path of one TCP connection between a node and an upstream. It delays data, preserves the order in each
 * direction, and holds data during a network cut until the cut ends, as TCP retransmission would. It outlives the connection: data
 * already in transit to the upstream when the node closes is still delivered, so a request may arrive long after its sender gave up. It
 * needs no close: once nothing is in transit it schedules nothing.
 */
final class Link {
    private static final long CUT_RETRY_US = 20_000;

    private final EventLoop loop;
    private final Network network;
    private final Network.Endpoint node;
    private final Network.Endpoint upstream;
    private final Direction inward = new Direction(true);
    private final Direction outward = new Direction(false);

    /** Inward is the direction from the node to the upstream. */
    Link(EventLoop loop, Network network, Network.Endpoint node, Network.Endpoint upstream) {
        this.loop = loop;
        this.network = network;
        this.node = node;
        this.upstream = upstream;
        // The first byte follows one round trip of the TCP handshake.
        inward.earliestArrivalNanos = System.nanoTime() + 2_000 * network.delayUs(node, upstream);
    }

    void sendInward(Runnable deliver) {
        inward.add(deliver);
    }

    void sendOutward(Runnable deliver) {
        outward.add(deliver);
    }

    /** The node has closed the connection: data in transit to it has no receiver. */
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
            long delayUs = inward ? network.delayUs(node, upstream) : network.delayUs(upstream, node);
            earliestArrivalNanos = Math.max(earliestArrivalNanos, System.nanoTime() + 1_000 * delayUs);
            inTransit.add(new InTransit(earliestArrivalNanos, deliver));
            deliverDue();
        }

        private void deliverDue() {
            if (timer != null) {
                return;
            }
            while (!inTransit.isEmpty()) {
                boolean isCut = inward ? network.isCut(node, upstream) : network.isCut(upstream, node);
                long waitNanos = isCut ? CUT_RETRY_US * 1_000 : inTransit.peek().dueNanos - System.nanoTime();
                if (isCut || waitNanos > 0) {
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
