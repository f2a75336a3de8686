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
    private static final long LOOK_AGAIN_US = 20_000;

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
        inward.notBeforeNanos = System.nanoTime() + 2_000 * network.delayUs(node, far);
    }

    void inward(Runnable arrive) {
        inward.add(arrive);
    }

    void outward(Runnable arrive) {
        outward.add(arrive);
    }

    /** Nobody is there any more to hear of what is on its way outward. */
    void closed() {
        outward.passing.clear();
    }

    private final class Direction {
        private record InTransit(long atNanos, Runnable arrive) {}

        private final boolean inward;
        private final ArrayDeque<InTransit> passing = new ArrayDeque<>();
        private long notBeforeNanos;
        private Future<?> timer;

        Direction(boolean inward) {
            this.inward = inward;
        }

        void add(Runnable arrive) {
            long us = inward ? network.delayUs(node, far) : network.delayUs(far, node);
            notBeforeNanos = Math.max(notBeforeNanos, System.nanoTime() + 1_000 * us);
            passing.add(new InTransit(notBeforeNanos, arrive));
            look();
        }

        private void look() {
            if (timer != null) {
                return;
            }
            while (!passing.isEmpty()) {
                boolean cut = inward ? network.cut(node, far) : network.cut(far, node);
                long waitNanos = cut ? LOOK_AGAIN_US * 1_000 : passing.peek().atNanos - System.nanoTime();
                if (cut || waitNanos > 0) {
                    timer = loop.schedule(
                            () -> {
                                timer = null;
                                look();
                            },
                            waitNanos,
                            TimeUnit.NANOSECONDS);
                    return;
                }
                passing.poll().arrive.run();
            }
        }
    }
}
