package rushproxy.fleet.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rushproxy.fleet.Envelope;
import rushproxy.lab.sim.SharedFigures;
import rushproxy.lab.sim.SharedSim;

/** Propagation, convergence and bounds of the replicated store on a simulated network with faults. */
class ReplicatedStoreTest {
    private static final long SECOND_US = 1_000_000;
    private static final long DAY_US = 86_400 * SECOND_US;
    /** Section type of entries. */
    private static final int ENTRIES = 21;

    private static byte[] value(int n) {
        return ByteBuffer.allocate(4).putInt(n).array();
    }

    private static SharedSim startFleet(long seed, int n, double loss) {
        SharedSim sim = new SharedSim(seed, n, 3, loss, 0.05, 30_000);
        sim.startAll();
        sim.until(2 * SECOND_US);
        return sim;
    }

    private static Integer readLimit(SharedSim.Node node, long key) {
        StoredEntry entry = node.store().read(node.clock(), Table.LIMITS, key, 0);
        return entry == null ? null : ByteBuffer.wrap(entry.value()).getInt();
    }

    @ParameterizedTest
    @CsvSource({"3,0", "100,0", "100,0.1", "100,0.3"})
    void writesSpreadWithinTheBound(int members, double loss) {
        for (long seed = 1; seed <= 10; seed++) {
            SharedFigures.Spread s = SharedFigures.spread(members, loss, seed);
            assertTrue(
                    s.ms99() <= SharedFigures.SPREAD_MS,
                    members + " members, loss " + loss + ", seed " + seed + ": " + s);
        }
    }

    /** After random writes, removals, partitions, crashes and restarts, all stores must have the same content. */
    @Test
    void storesConvergeAfterRandomFaults() {
        for (long seed = 1; seed <= 150; seed++) {
            SharedSim sim = new SharedSim(seed, 9, 3, 0.2, 0.2, 400_000);
            Random random = new Random(seed);
            sim.startAll();
            for (int step = 0; step < 40; step++) {
                sim.until(sim.us() + random.nextInt(900_000));
                SharedSim.Node n = sim.node(random.nextInt(9));
                int partition = random.nextInt(1 << 9);
                switch (random.nextInt(8)) {
                    case 0 -> sim.cut((a, b) -> (partition >> a & 1) != (partition >> b & 1));
                    case 1 -> sim.cut((a, b) -> (partition >> a & 1) == 1 && (partition >> b & 1) == 0);
                    case 2 -> sim.cut((a, b) -> false);
                    case 3 -> sim.kill(n);
                    case 4 -> sim.start(n);
                    case 5 ->
                        sim.node(step % 9).store().remove(sim.node(step % 9).clock(), Table.LIMITS, random.nextInt(4));
                    default -> {
                        if (n.up()) {
                            n.store()
                                    .put(
                                            n.clock(),
                                            random.nextBoolean() ? Table.LIMITS : Table.COUNTS,
                                            random.nextInt(4),
                                            value(step));
                        }
                    }
                }
            }
            sim.cut((a, b) -> false);
            sim.until(sim.us() + 30 * SECOND_US);
            assertTrue(sim.agree(), "seed " + seed);
        }
    }

    @Test
    void lastWriteWinsAfterAPartition() {
        SharedSim sim = startFleet(5, 10, 0.1);
        sim.node(0).store().put(sim.node(0).clock(), Table.LIMITS, 7, value(1));
        sim.until(10 * SECOND_US);
        sim.cut((a, b) -> a < 5 != b < 5);
        sim.node(1).store().put(sim.node(1).clock(), Table.LIMITS, 7, value(2));
        sim.until(12 * SECOND_US);
        sim.node(8).store().put(sim.node(8).clock(), Table.LIMITS, 7, value(3));
        sim.until(20 * SECOND_US);
        assertEquals(2, readLimit(sim.node(4), 7));
        assertEquals(3, readLimit(sim.node(9), 7));
        sim.cut((a, b) -> false);
        sim.until(30 * SECOND_US);
        sim.nodes().forEach(n -> assertEquals(3, readLimit(n, 7), "n" + n.number));
    }

    @Test
    void clockAnHourAheadIsCorrected() {
        SharedSim sim = new SharedSim(6, 8, 1, 0.05, 0, 30_000);
        sim.jump(sim.node(0), 3_600 * SECOND_US);
        sim.startAll();
        // Without messages from others it can't know that its clock is wrong.
        sim.node(0).store().put(sim.node(0).clock(), Table.LIMITS, 7, value(1));
        sim.until(5 * SECOND_US);
        assertEquals(1, readLimit(sim.node(5), 7), "restamped after the correction");
        sim.node(3).store().put(sim.node(3).clock(), Table.LIMITS, 7, value(2));
        sim.until(10 * SECOND_US);
        sim.nodes().forEach(n -> assertEquals(2, readLimit(n, 7), "n" + n.number));
        assertTrue(
                sim.node(0).notes.stream()
                        .anyMatch(x -> x.contains("clock is off by 36000") || x.contains("clock is off by 35999")),
                sim.node(0).notes.toString());
        sim.jump(sim.node(0), -3_600 * SECOND_US);
        sim.until(20 * SECOND_US);
        sim.node(0).store().put(sim.node(0).clock(), Table.LIMITS, 7, value(4));
        sim.until(40 * SECOND_US);
        sim.nodes().forEach(n -> assertEquals(n.number == 0 ? 4 : readLimit(sim.node(1), 7), readLimit(n, 7)));
    }

    @Test
    void removedEntryDoesNotReturnAfterADay() {
        SharedSim sim = new SharedSim(7, 4, 1, 0, 0, 30_000);
        sim.startAll();
        sim.node(0).store().put(sim.node(0).clock(), Table.LIMITS, 7, value(1));
        sim.until(5 * SECOND_US);
        assertEquals(1, readLimit(sim.node(3), 7));
        // During this day there are only comparisons, as no updates are pending.
        sim.cut((a, b) -> a == 3 || b == 3);
        sim.node(1).store().remove(sim.node(1).clock(), Table.LIMITS, 7);
        sim.until(10 * SECOND_US);
        assertNull(readLimit(sim.node(2), 7));
        sim.until(DAY_US + 60 * SECOND_US);
        assertEquals(0, sim.node(2).store().size(), "tombstones expire");
        assertEquals(1, readLimit(sim.node(3), 7), "the isolated member still has the entry");
        sim.cut((a, b) -> false);
        sim.until(DAY_US + 80 * SECOND_US);
        sim.nodes().forEach(n -> assertNull(readLimit(n, 7), "n" + n.number));
    }

    @Test
    void readReportsAgeAndFreshness() {
        SharedSim sim = startFleet(8, 3, 0);
        long id = sim.node(0).id;
        sim.node(0).store().put(sim.node(0).clock(), Table.VERDICTS, 7, value(1));
        sim.until(6 * SECOND_US);
        StoredEntry entry = sim.node(2).store().read(sim.node(2).clock(), Table.VERDICTS, 7, id);
        assertTrue(entry.fresh() && Math.abs(entry.ageUs() - 4 * SECOND_US) < SECOND_US / 2, entry.toString());
        sim.cut((a, b) -> true);
        sim.until(12 * SECOND_US);
        assertFalse(sim.node(2)
                .store()
                .read(sim.node(2).clock(), Table.VERDICTS, 7, id)
                .fresh());
        sim.until(18 * SECOND_US);
        assertNull(sim.node(2).store().read(sim.node(2).clock(), Table.VERDICTS, 7, id), "the lease has expired");
    }

    @Test
    void fullTableKeepsTheSameEntriesEverywhere() {
        Table small = new Table(1, "verdicts", true, false, 20, 2, 8, 60_000);
        SharedSim sim = new SharedSim(9, 6, 1, 0.1, 0, 30_000).tables(small, Table.LIMITS, Table.COUNTS);
        sim.startAll();
        for (int key = 0; key < 30; key++) {
            for (int n = 0; n < 3; n++) {
                SharedSim.Node at = sim.node((key + n) % 6);
                at.store().put(at.clock(), small, key, value(n));
            }
        }
        sim.until(30 * SECOND_US);
        assertTrue(sim.agree());
        List<StoredEntry> kept = sim.node(0).store().readAll(sim.node(0).clock(), small);
        assertEquals(20, kept.size());
        kept.forEach(r ->
                assertTrue(kept.stream().filter(o -> o.key() == r.key()).count() <= 2));
        assertTrue(sim.node(0).notes.stream().anyMatch(n -> n.contains("the table of verdicts is full")));
    }

    @Test
    void unknownTablesAreSkipped() {
        Table later = new Table(9, "later version", true, false, 10, 5, 8, 60_000);
        SharedSim sim = new SharedSim(10, 4, 1, 0, 0, 30_000);
        for (int i = 0; i < 4; i++) {
            sim.tables(
                    i < 2
                            ? new Table[] {Table.LIMITS, Table.VERDICTS, later}
                            : new Table[] {Table.LIMITS, Table.COUNTS, Table.VERDICTS});
            sim.start(sim.node(i));
        }
        sim.until(SECOND_US);
        sim.node(0).store().put(sim.node(0).clock(), later, 7, value(1));
        sim.node(0).store().put(sim.node(0).clock(), Table.LIMITS, 7, value(2));
        sim.until(10 * SECOND_US);
        assertNotNull(sim.node(1).store().read(sim.node(1).clock(), later, 7, sim.node(0).id));
        for (int i = 0; i < 4; i++) {
            assertEquals(2, readLimit(sim.node(i), 7));
        }
    }

    /** An entry must be accepted only from its writer or from two other members. */
    @Test
    void forgedEntriesOfOtherWritersAreIgnored() {
        SharedSim sim = startFleet(11, 5, 0);
        SharedSim.Node attacker = sim.node(4);
        sim.kill(attacker);
        for (int writer = 0; writer < 2; writer++) {
            ByteBuffer b = ByteBuffer.allocate(40).put((byte) Table.VERDICTS.id());
            Envelope.put48(b, 7);
            Envelope.put48(b, sim.node(writer).id);
            b.putLong(attacker.clock() / 1_000 << 16)
                    .putInt(10_000)
                    .put((byte) 4)
                    .put(value(1));
            byte[] datagram =
                    Envelope.from(attacker.id, 1).addSection(ENTRIES, b).toBytes(-1);
            for (int to = 0; to < 4; to++) {
                sim.deliver(attacker, sim.node(to), datagram);
                sim.deliver(attacker, sim.node(to), datagram);
            }
        }
        sim.until(12 * SECOND_US);
        for (int at = 0; at < 4; at++) {
            assertTrue(
                    sim.node(at)
                            .store()
                            .readAll(sim.node(at).clock(), Table.VERDICTS)
                            .isEmpty(),
                    "n" + at);
        }
    }

    @Test
    void randomSectionsChangeNothing() {
        SharedSim sim = startFleet(12, 3, 0);
        sim.node(0).store().put(sim.node(0).clock(), Table.LIMITS, 7, value(1));
        sim.until(5 * SECOND_US);
        long before = sim.fingerprint(sim.node(1));
        Random random = new Random(12);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = new byte[random.nextInt(200)];
            random.nextBytes(bytes);
            byte[] datagram = Envelope.from(sim.node(0).id, 1)
                    .addSection(20 + random.nextInt(6), ByteBuffer.allocate(200).put(bytes))
                    .toBytes(-1);
            sim.deliver(sim.node(0), sim.node(1), datagram);
        }
        assertEquals(1, readLimit(sim.node(1), 7));
        sim.until(30 * SECOND_US);
        assertTrue(sim.node(1).store().size() <= 1_000 && before == sim.fingerprint(sim.node(2)));
    }

    @Test
    void countersAddUpAcrossRestarts() {
        SharedSim sim = startFleet(13, 4, 0.1);
        FleetCounters[] counts = new FleetCounters[4];
        for (int i = 0; i < 4; i++) {
            counts[i] = new FleetCounters(sim.node(i).store(), 100 + i);
            counts[i].add("asked", 10 * (i + 1));
            counts[i].onTick(sim.node(i).clock());
        }
        sim.until(8 * SECOND_US);
        sim.kill(sim.node(0));
        sim.until(9 * SECOND_US);
        sim.start(sim.node(0));
        sim.until(15 * SECOND_US);
        counts[0] = new FleetCounters(sim.node(0).store(), 200);
        counts[0].add("asked", 5);
        counts[0].onTick(sim.node(0).clock());
        sim.until(25 * SECOND_US);
        for (int i = 0; i < 4; i++) {
            assertEquals(105, counts[i].sum(sim.node(i).clock(), "asked"), "n" + i);
        }
    }

    /** The tables must hold the witness reports on 1,024 servers, and a counter of each of 1,024 processes. */
    @Test
    void tablesHoldAThousandServers() {
        SharedSim sim = startFleet(11, 3, 0);
        for (SharedSim.Node n : sim.nodes()) {
            for (int server = 1; server <= 1_024; server++) {
                n.store().put(n.clock(), Table.VERDICTS, server, value(server));
            }
        }
        sim.until(sim.us() + SECOND_US);
        for (SharedSim.Node n : sim.nodes()) {
            int own = 0;
            for (int server = 1; server <= 1_024; server++) {
                own += n.store().read(n.clock(), Table.VERDICTS, server, n.id) == null ? 0 : 1;
            }
            assertEquals(1_024, own, n.notes.toString());
        }
        assertTrue(
                Table.VERDICTS.maxEntries() >= 1_024 * Table.VERDICTS.maxWritersPerKey(),
                "all witnesses of all servers");
        assertTrue(
                Table.COUNTS.maxWritersPerKey() >= 1_024 && Table.COUNTS.maxEntries() >= 1_024,
                "a counter of each process");
    }
}
