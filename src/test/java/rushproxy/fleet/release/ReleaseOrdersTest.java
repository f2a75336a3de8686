package rushproxy.fleet.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;
import rushproxy.fleet.shared.Table;
import rushproxy.lab.sim.SharedSim;

/** Propagation and precedence of release orders in a simulated fleet. */
class ReleaseOrdersTest {
    private static final long SECOND_US = 1_000_000;
    private SharedSim sim;
    private ReleaseOrders[] orders;

    @BeforeEach
    void start() {
        sim = new SharedSim(31, 6, 2, 0.1, 0.05, 30_000)
                .tables(Table.VERDICTS, Table.LIMITS, Table.COUNTS, Table.ORDERS);
        sim.startAll();
        sim.until(2 * SECOND_US);
        orders = new ReleaseOrders[6];
        for (int i = 0; i < 6; i++) {
            orders[i] = new ReleaseOrders(sim.node(i).store(), sim.node(i).clock(), sim.node(i));
        }
    }

    private static Upstream server(String id, String kind, String zone, int pod, long startedMs) {
        return new Upstream(id, zone, kind, pod, startedMs * 1_000, 1, UpstreamState.READY);
    }

    private static ReleaseOrder order(int epoch, int step, ReleaseOrder.State state, double weight) {
        return new ReleaseOrder("r1", epoch, step, state, weight, 0.05, ReleaseOrder.Selector.parse("kind=new"));
    }

    private String submit(int node, ReleaseOrder order) {
        return orders[node].submit(sim.node(node).clock(), order);
    }

    /** Current weight of a new server at the node. */
    private double weight(int node, boolean hasContact) {
        orders[node].refresh(sim.node(node).clock(), hasContact);
        return orders[node].weights(List.of(server("s1", "new", "a", 1, 0))).getOrDefault("s1", 1.0);
    }

    @Test
    void orderReachesAllSidecars() {
        assertNull(submit(2, order(1, 0, ReleaseOrder.State.ON, 0.1)));
        sim.until(8 * SECOND_US);
        for (int at = 0; at < 6; at++) {
            assertEquals(0.1, weight(at, true));
        }
        assertTrue(sim.node(5).notes.stream()
                .anyMatch(n -> n.contains("release r1, epoch 1, step 0: on, weight 0.1 for kind=new")));
        assertNull(submit(0, order(1, 1, ReleaseOrder.State.DONE, 1)));
        sim.until(14 * SECOND_US);
        assertEquals(1, weight(3, true));
    }

    /** With two controllers in a partition, the order of the later epoch must win, whichever was given last. */
    @Test
    void laterEpochWinsAndEarlierIsRejected() {
        sim.cut((a, b) -> a < 3 != b < 3);
        assertNull(submit(0, order(2, 0, ReleaseOrder.State.HALTED, 0.2)));
        sim.until(3 * SECOND_US);
        // Given later, with an earlier epoch, in the other partition.
        assertNull(submit(5, order(1, 7, ReleaseOrder.State.ON, 0.9)));
        sim.until(10 * SECOND_US);
        assertEquals(0.2, weight(1, true));
        assertEquals(0.9, weight(4, true));
        sim.cut((a, b) -> false);
        sim.until(25 * SECOND_US);
        for (int at = 0; at < 6; at++) {
            assertEquals(0.2, weight(at, true), "n" + at);
            assertEquals("epoch 2, step 0 is known", submit(at, order(1, 8, ReleaseOrder.State.ON, 1)));
        }
        assertNull(submit(4, order(2, 0, ReleaseOrder.State.HALTED, 0.2)), "a repeated order is accepted");
        assertEquals(
                "another order of this epoch and step is known", submit(4, order(2, 0, ReleaseOrder.State.ON, 0.5)));
    }

    @Test
    void isolatedSidecarFallsBackToTheSafeWeight() {
        assertNull(submit(0, order(1, 2, ReleaseOrder.State.ON, 0.5)));
        sim.until(8 * SECOND_US);
        assertEquals(0.5, weight(5, true));
        sim.cut((a, b) -> a == 5 || b == 5);
        sim.until(8 * SECOND_US + ReleaseOrders.ISOLATION_TIMEOUT_US - SECOND_US);
        assertEquals(0.5, weight(5, false));
        sim.until(8 * SECOND_US + ReleaseOrders.ISOLATION_TIMEOUT_US + SECOND_US);
        assertEquals(0.05, weight(5, false));
        assertEquals(0.5, weight(1, true));
        sim.cut((a, b) -> false);
        sim.until(8 * SECOND_US + ReleaseOrders.ISOLATION_TIMEOUT_US + 10 * SECOND_US);
        assertEquals(0.5, weight(5, true));
    }

    @Test
    void restartedSidecarLearnsTheOrder() {
        assertNull(submit(0, order(1, 2, ReleaseOrder.State.ON, 0.5)));
        sim.until(8 * SECOND_US);
        sim.kill(sim.node(3));
        sim.until(9 * SECOND_US);
        sim.start(sim.node(3));
        orders[3] = new ReleaseOrders(sim.node(3).store(), sim.node(3).clock(), sim.node(3));
        sim.until(14 * SECOND_US);
        assertEquals(0.5, weight(3, true));
    }

    @Test
    void lowerWeightOfTwoReleasesApplies() {
        assertNull(submit(0, order(1, 0, ReleaseOrder.State.ON, 0.5)));
        assertNull(submit(
                0,
                new ReleaseOrder(
                        "r2",
                        1,
                        0,
                        ReleaseOrder.State.ON,
                        0.2,
                        0,
                        ReleaseOrder.Selector.parse("zone=a,started-after=1000"))));
        orders[0].refresh(sim.node(0).clock(), true);
        Upstream both = server("s1", "new", "a", 1, 2_000);
        assertEquals(
                Map.of("s1", 0.2, "s2", 0.5, "s3", 0.2),
                orders[0].weights(List.of(
                        both,
                        server("s2", "new", "b", 1, 0),
                        server("s3", "old", "a", 1, 1_001),
                        server("s4", "old", "a", 1, 1_000))));
        assertEquals(2, orders[0].releasesOf(both).size());
    }

    @Test
    void invalidSelectorsAreExplained() {
        for (String expression : new String[] {"kind=k,zone=z,pod=3,started-after=17", "ids=a+b+c", "pod=-1"}) {
            assertEquals(expression, ReleaseOrder.Selector.parse(expression).expression());
        }
        assertTrue(ReleaseOrder.Selector.parse("ids=a+b").matches(server("b", "k", "z", 1, 0)));
        for (String[] invalid : new String[][] {
            {"", "'' is not NAME=VALUE"},
            {"kind", "'kind' is not NAME=VALUE"},
            {"pod=x", "'pod=x': not a whole number"},
            {"color=red", "'color' is not ids, kind, zone, pod or started-after"},
            {"ids=a,kind=k", "ids can't be combined with other terms"}
        }) {
            String message = assertThrows(IllegalArgumentException.class, () -> ReleaseOrder.Selector.parse(invalid[0]))
                    .getMessage();
            assertTrue(message.contains(invalid[1]), message);
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new ReleaseOrder(
                        "r",
                        1,
                        0,
                        ReleaseOrder.State.ON,
                        1,
                        0,
                        ReleaseOrder.Selector.parse("ids=" + "server-of-a-long-name+".repeat(8) + "x")));
        assertThrows(
                IllegalArgumentException.class,
                () -> new ReleaseOrder("r", 0, 0, ReleaseOrder.State.ON, 1, 0, ReleaseOrder.Selector.parse("kind=k")));
        assertThrows(
                IllegalArgumentException.class,
                () -> new ReleaseOrder(
                        "r", 1, 0, ReleaseOrder.State.ON, 1.1, 0, ReleaseOrder.Selector.parse("kind=k")));
    }

    @Test
    void randomBytesDecodeWithoutExceptions() {
        ReleaseOrder order = order(3, 4, ReleaseOrder.State.BACK, 0.25);
        assertEquals(order, ReleaseOrder.decode(order.encode()));
        Random random = new Random(5);
        for (int i = 0; i < 20_000; i++) {
            byte[] noise = new byte[random.nextInt(60)];
            random.nextBytes(noise);
            ReleaseOrder.decode(noise);
            byte[] corrupted = order.encode();
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
            ReleaseOrder.decode(corrupted);
        }
    }
}
