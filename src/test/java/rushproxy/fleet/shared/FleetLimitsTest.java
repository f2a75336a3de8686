package rushproxy.fleet.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.LimitScope;
import rushproxy.Balancer.LimitShare;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;
import rushproxy.lab.sim.SharedFigures;
import rushproxy.lab.sim.SharedSim;

/** Leased shares of a limit: their sum never exceeds it, and they follow the demand. */
class FleetLimitsTest {
    private static final long SECOND_US = 1_000_000;
    private static final double LIMIT = 100;
    /** Section type of lease requests. */
    private static final int LEASE_REQUEST = 30;

    private static final FleetLimits.Limit GLOBAL_LIMIT =
            new FleetLimits.Limit("all", LimitScope.ALL, "", false, LIMIT);

    private static double share(SharedSim.Node node) {
        return node.limits().shares(node.clock(), SECOND_US).get(0).share();
    }

    private static double totalShare(SharedSim sim) {
        return sim.nodes().stream()
                .filter(SharedSim.Node::up)
                .mapToDouble(FleetLimitsTest::share)
                .sum();
    }

    private static void scheduleDemand(SharedSim sim, long everyUs, java.util.function.IntToDoubleFunction of) {
        sim.later(everyUs, () -> {
            sim.nodes().stream()
                    .filter(SharedSim.Node::up)
                    .forEach(n -> n.limits().recordDemand(n.clock(), "all", of.applyAsDouble(n.number)));
            scheduleDemand(sim, everyUs, of);
        });
    }

    /** Loss, duplicates, delays longer than a lease, partitions, crashes and restarts must not make the shares exceed the limit. */
    @Test
    void sharesNeverExceedTheLimit() {
        for (long seed = 1; seed <= 60; seed++) {
            SharedSim sim =
                    new SharedSim(seed, 8, 2, 0.15, 0.3, seed % 2 == 0 ? 30_000 : 2_500_000).limits(GLOBAL_LIMIT);
            Random random = new Random(seed);
            double[] demands = new double[8];
            sim.startAll();
            scheduleDemand(sim, 200_000, i -> demands[i]);
            long currentSeed = seed;
            sim.each(us -> assertTrue(
                    totalShare(sim) <= LIMIT * (1 + 1e-9),
                    () -> "seed " + currentSeed + ", " + us + " us: " + totalShare(sim)));
            for (int step = 0; step < 30; step++) {
                sim.until(sim.us() + random.nextInt(1_500_000));
                demands[random.nextInt(8)] = random.nextInt(3) * 40;
                int partition = random.nextInt(1 << 8);
                switch (random.nextInt(5)) {
                    case 0 -> sim.cut((a, b) -> (partition >> a & 1) != (partition >> b & 1));
                    case 1 -> sim.cut((a, b) -> false);
                    case 2 -> sim.kill(sim.node(random.nextInt(8)));
                    case 3 -> sim.start(sim.node(random.nextInt(8)));
                    default -> {}
                }
            }
        }
    }

    @Test
    void sharesFollowAMovingHotspot() {
        SharedSim sim = new SharedSim(3, 10, 2, 0, 0, 30_000).limits(GLOBAL_LIMIT);
        int[] hot = {2};
        sim.startAll();
        scheduleDemand(sim, 200_000, i -> i == hot[0] ? 50 : 5);
        sim.until(8 * SECOND_US);
        assertTrue(share(sim.node(2)) > 45, "of a demand of 50: " + share(sim.node(2)));
        assertTrue(share(sim.node(5)) >= 5, "the lender keeps what it needs: " + share(sim.node(5)));
        hot[0] = 7;
        sim.until(16 * SECOND_US);
        assertTrue(
                share(sim.node(7)) > 45 && share(sim.node(2)) >= 5, share(sim.node(7)) + " and " + share(sim.node(2)));
    }

    @Test
    void partitionEndsAllLeases() {
        SharedSim sim = new SharedSim(4, 5, 1, 0, 0, 30_000).limits(GLOBAL_LIMIT);
        sim.startAll();
        scheduleDemand(sim, 200_000, i -> i == 0 ? 70 : 5);
        sim.until(8 * SECOND_US);
        assertTrue(share(sim.node(0)) > 60);
        sim.cut((a, b) -> a == 0 || b == 0);
        sim.until(8 * SECOND_US + FleetLimits.LEASE_US + SECOND_US);
        sim.nodes().forEach(n -> assertEquals(LIMIT / 5, share(n), 1e-9, "n" + n.number));
    }

    @Test
    void deadBorrowerLosesOnlyItsOwnShare() {
        SharedSim sim = new SharedSim(5, 5, 1, 0.1, 0, 30_000).limits(GLOBAL_LIMIT);
        int[] hot = {0};
        sim.startAll();
        scheduleDemand(sim, 200_000, i -> i == hot[0] ? 70 : 5);
        sim.until(8 * SECOND_US);
        assertTrue(share(sim.node(0)) > 50, "" + share(sim.node(0)));
        sim.kill(sim.node(0));
        hot[0] = 1;
        sim.until(14 * SECOND_US);
        assertTrue(share(sim.node(1)) > 50, "" + share(sim.node(1)));
    }

    @Test
    void operatorLimitAppliesFleetWideUntilRemoved() {
        SharedSim sim = new SharedSim(6, 4, 1, 0.1, 0, 30_000).limits(GLOBAL_LIMIT);
        sim.startAll();
        sim.until(4 * SECOND_US);
        sim.node(1).limits().setLimit(sim.node(1).clock(), new FleetLimits.Limit("all", LimitScope.ALL, "", false, 40));
        sim.node(2)
                .limits()
                .setLimit(sim.node(2).clock(), new FleetLimits.Limit("orders", LimitScope.CLASS, "order", true, 8));
        sim.until(10 * SECOND_US);
        for (SharedSim.Node n : sim.nodes()) {
            assertEquals(10, share(n), 1e-6);
            LimitShare orders = n.limits().shares(n.clock(), SECOND_US).get(1);
            assertTrue(orders.inFlight()
                    && orders.scope() == LimitScope.CLASS
                    && orders.subject().equals("order")
                    && orders.share() == 2);
        }
        assertTrue(sim.node(3).limits().removeLimit(sim.node(3).clock(), "all"));
        assertFalse(sim.node(3).limits().removeLimit(sim.node(3).clock(), "none"));
        sim.until(16 * SECOND_US);
        sim.nodes().forEach(n -> assertEquals(25, share(n), 1e-6));
        String longName = "x".repeat(41);
        assertThrows(
                IllegalArgumentException.class,
                () -> FleetLimits.validated(new FleetLimits.Limit("n", LimitScope.TENANT, longName, false, 1)));
    }

    @Test
    void documentedFiguresHold() {
        for (String event : List.of("calm", "split", "restart")) {
            SharedFigures.Limited figures = SharedFigures.limited(20, 0.1, event, 9);
            assertTrue(
                    figures.most() <= 1 + 1e-9 && figures.unused() < 0.15 && figures.bytes() < 800, figures.toString());
        }
    }

    /** The bound on borrowers must not reject any borrower of a large fleet. */
    @Test
    void lenderServesMoreThanAThousandBorrowers() {
        int fleetSize = 1_100;
        List<Integer> borrowers = new java.util.ArrayList<>();
        Environment environment = new Environment() {
            @Override
            public void send(int peer, byte[] datagram) {
                java.nio.ByteBuffer b = java.nio.ByteBuffer.wrap(
                        Envelope.parse(datagram).sections().get(0).bytes());
                Envelope.get48(b);
                b.getShort();
                if (b.getFloat() > 0) {
                    borrowers.add(peer);
                }
            }

            @Override
            public void logEvent(String event) {}
        };
        PeerDirectory peers = new PeerDirectory() {
            @Override
            public int size() {
                return fleetSize;
            }

            @Override
            public int randomPeer(int part, java.util.SplittableRandom random) {
                return -1;
            }

            @Override
            public boolean isLive(long member) {
                return true;
            }

            @Override
            public String nameOf(long member) {
                return "" + member;
            }
        };
        ReplicatedStore store = new ReplicatedStore(1, 2, -1, List.of(Table.LIMITS), 0, 1, peers, environment);
        FleetLimits lender =
                new FleetLimits(1, fleetSize, 2, -1, store, List.of(GLOBAL_LIMIT), 0, 1, peers, environment);
        long nowUs = 2 * FleetLimits.LEASE_US;
        for (int i = 1; i < fleetSize; i++) {
            java.nio.ByteBuffer request = java.nio.ByteBuffer.allocate(16);
            Envelope.put48(request, Envelope.idOf("all"));
            request.putShort((short) 1)
                    .putFloat((float) (LIMIT / fleetSize / fleetSize / 2))
                    .putFloat((float) LIMIT);
            lender.onMessage(
                    nowUs,
                    i,
                    Envelope.parse(Envelope.from(1_000 + i, 1)
                            .addSection(LEASE_REQUEST, request)
                            .toBytes(-1)));
        }
        assertEquals(fleetSize - 1, borrowers.size());
    }
}
