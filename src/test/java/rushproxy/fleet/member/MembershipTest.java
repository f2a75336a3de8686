package rushproxy.fleet.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rushproxy.fleet.Envelope;
import rushproxy.lab.sim.MemberFigures;
import rushproxy.lab.sim.MemberSim;
import rushproxy.lab.sim.MemberSim.Node;

/** Failure detection and membership under faults, on a simulated network with virtual time. */
class MembershipTest {
    private static final long SECOND_US = 1_000_000;
    /** Unix time at which the simulation starts. */
    private static final long EPOCH_US = 1_700_000_000_000_000L;
    /** Section type of member updates. */
    private static final int UPDATES = 6;

    private static final int ANY_SECTION = 200;
    /** Bounds documented in docs/MEMBERSHIP.md. */
    private static final long DETECTION_BOUND_US = 4 * SECOND_US;

    private static final long CONVERGENCE_BOUND_US = 20 * SECOND_US;

    private static MemberSim startFleet(int n, long seed, double loss) {
        MemberSim sim = new MemberSim(seed).hosts(n).network(loss, 0.05, 300, 40_000);
        sim.startAll();
        sim.until(10 * SECOND_US);
        assertTrue(sim.agree(), "the members don't see the whole fleet");
        return sim;
    }

    private static void assertConverges(MemberSim sim, long withinUs) {
        long deadlineUs = sim.us() + withinUs;
        while (!sim.agree() && sim.us() < deadlineUs) {
            sim.until(sim.us() + 100_000);
        }
        assertTrue(
                sim.agree(),
                () -> "no agreement: "
                        + sim.nodes().stream()
                                .map(n -> n.name + " sees "
                                        + (n.up() ? n.membership().view() : "-"))
                                .toList());
    }

    private static boolean hasLogged(Node node, String text) {
        return node.notes.stream().anyMatch(l -> l.contains(text));
    }

    @Test
    void deathIsDetectedByAllSurvivors() {
        MemberSim sim = startFleet(12, 1, 0.1);
        sim.kill(sim.node(5));
        sim.until(sim.us() + DETECTION_BOUND_US);
        assertEquals(11, sim.seenAs(sim.node(5), Member.State.DEAD));
        assertConverges(sim, SECOND_US);
        assertTrue(hasLogged(sim.node(0), "n5 is dead: "), sim.node(0).notes.toString());
    }

    /** With a member killed, others stalling and 10% loss, only the killed one is declared dead, for each of many seeds. */
    @Test
    void noLiveMemberIsDeclaredDeadAcrossSeeds() {
        for (long seed = 1; seed <= 1_000; seed++) {
            MemberSim sim = new MemberSim(seed).hosts(6).network(0.1, 0.05, 300, 40_000);
            sim.startAll();
            sim.until(5 * SECOND_US);
            SplittableRandom random = new SplittableRandom(seed);
            sim.kill(sim.node(0));
            for (int i = 1; i < 6; i++) {
                Node n = sim.node(i);
                sim.later(random.nextLong(3 * SECOND_US), () -> sim.stall(n, 200_000 + random.nextLong(1_300_000)));
            }
            sim.until(13 * SECOND_US);
            long currentSeed = seed;
            for (int i = 1; i < 6; i++) {
                assertEquals(0, sim.seenAs(sim.node(i), Member.State.DEAD), () -> "seed " + currentSeed);
            }
            assertEquals(5, sim.seenAs(sim.node(0), Member.State.DEAD), () -> "seed " + currentSeed);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {200_000, 800_000, 1_500_000})
    void stalledMemberIsNotDeclaredDead(long us) {
        MemberSim sim = startFleet(8, 2, 0.1);
        for (int i = 0; i < 10; i++) {
            sim.stall(sim.node(3), us);
            sim.until(sim.us() + 3 * SECOND_US);
            assertEquals(0, sim.seenAs(sim.node(3), Member.State.DEAD));
        }
    }

    /** A stalled member reads no answers, so all others seem silent to it; it must not declare them dead. */
    @Test
    void stalledObserverDeclaresNobodyDead() {
        MemberSim sim = startFleet(8, 3, 0);
        for (long us = 200_000; us <= 5 * SECOND_US; us += 400_000) {
            sim.stall(sim.node(2), us);
            sim.until(sim.us() + us + SECOND_US);
            for (Node other : sim.nodes()) {
                assertFalse(MemberSim.state(sim.node(2), other) == Member.State.DEAD, other.name + " after " + us);
            }
        }
    }

    /** A process stopped for 10 s, as by SIGSTOP, is declared dead and must be accepted again when it continues. */
    @Test
    void memberStoppedForLongIsDeclaredDeadAndRejoins() {
        MemberSim sim = startFleet(8, 4, 0.1);
        sim.stall(sim.node(6), 10 * SECOND_US);
        sim.until(sim.us() + 6 * SECOND_US);
        assertEquals(7, sim.seenAs(sim.node(6), Member.State.DEAD));
        sim.until(sim.us() + 4 * SECOND_US);
        assertConverges(sim, CONVERGENCE_BOUND_US);
    }

    /** n1 doesn't receive from n0; the others reach both, so indirect probes must clear both suspicions. */
    @Test
    void oneWayLinkFailureKillsNobody() {
        MemberSim sim = startFleet(8, 5, 0.05);
        sim.cut((from, to) -> from.number == 0 && to.number == 1);
        sim.until(sim.us() + 60 * SECOND_US);
        assertEquals(0, sim.seenAs(sim.node(0), Member.State.DEAD));
        assertEquals(0, sim.seenAs(sim.node(1), Member.State.DEAD));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void partitionsMergeAfterHealing(int parts) {
        MemberSim sim = startFleet(12, 6, 0.1);
        sim.cut((from, to) -> from.number % parts != to.number % parts);
        sim.until(sim.us() + 12 * SECOND_US);
        for (Node n : sim.nodes()) {
            assertEquals(MembershipView.Standing.MINORITY, n.membership().view().standing());
            assertEquals(12 / parts, n.membership().view().liveCount());
        }
        sim.cut((from, to) -> false);
        assertConverges(sim, CONVERGENCE_BOUND_US);
        sim.nodes()
                .forEach(n -> assertEquals(
                        MembershipView.Standing.MAJORITY, n.membership().view().standing()));
    }

    @Test
    void isolatedMemberReportsNobody() {
        MemberSim sim = startFleet(5, 7, 0);
        sim.cut((from, to) -> from.number == 4 || to.number == 4);
        sim.until(sim.us() + 15 * SECOND_US);
        // The isolated member suspects nobody, as the fault may be its own; the others declare it dead.
        assertEquals(4, sim.seenAs(sim.node(4), Member.State.DEAD));
        assertEquals(
                MembershipView.Standing.MAJORITY,
                sim.node(0).membership().view().standing());
        assertEquals(
                MembershipView.Standing.NOBODY, sim.node(4).membership().view().standing());
    }

    @Test
    void massRestartConverges() {
        MemberSim sim = startFleet(10, 8, 0.1);
        for (int i = 0; i < 7; i++) {
            Node n = sim.node(i);
            sim.kill(n);
            sim.later(2 * SECOND_US + i * 100_000, () -> sim.start(n));
        }
        sim.until(sim.us() + 3 * SECOND_US);
        assertConverges(sim, CONVERGENCE_BOUND_US);
    }

    @Test
    void massFailureIsDetected() {
        MemberSim sim = startFleet(20, 9, 0.1);
        for (int i = 0; i < 14; i++) {
            sim.kill(sim.node(i));
        }
        sim.until(sim.us() + 8 * SECOND_US);
        assertConverges(sim, SECOND_US);
        assertEquals(
                MembershipView.Standing.MINORITY,
                sim.node(19).membership().view().standing());
    }

    @Test
    void leaveReducesTheExpectedCount() {
        MemberSim sim = startFleet(5, 10, 0);
        for (int i = 0; i < 3; i++) {
            Node n = sim.node(i);
            n.membership().leave(EPOCH_US + sim.us());
            sim.until(sim.us() + 100_000);
            sim.kill(n);
        }
        sim.until(sim.us() + SECOND_US);
        assertEquals(2, sim.seenAs(sim.node(0), Member.State.LEFT));
        assertEquals(
                MembershipView.Standing.MAJORITY,
                sim.node(3).membership().view().standing());
        assertEquals(2, sim.node(3).membership().view().expectedCount());
        // A new process of that name is live again.
        sim.start(sim.node(0));
        sim.until(sim.us() + 3 * SECOND_US);
        assertEquals(2, sim.seenAs(sim.node(0), Member.State.ALIVE));
    }

    /** During a handover the new process has the address, while the old one still sends for a while and then leaves. */
    @Test
    void replacedProcessStaysOneLiveMember() {
        MemberSim sim = startFleet(6, 11, 0);
        Node node = sim.node(2);
        Membership predecessor = node.membership();
        sim.start(node);
        for (int i = 0; i < 40; i++) {
            predecessor.onTick(EPOCH_US + sim.us());
            sim.until(sim.us() + 100_000);
            for (Node n : sim.nodes()) {
                assertFalse(
                        MemberSim.state(n, node) == Member.State.DEAD || MemberSim.state(n, node) == Member.State.LEFT,
                        "at " + n.name);
                assertTrue(n.membership().view().liveCount() <= 6, n.name + " counts both processes");
            }
        }
        predecessor.leave(EPOCH_US + sim.us());
        sim.until(sim.us() + 2 * SECOND_US);
        assertEquals(5, sim.seenAs(node, Member.State.ALIVE));
        assertConverges(sim, SECOND_US);
    }

    /** A malicious member must not send as another member, nor as a second one. */
    @Test
    void peerIndexIdentifiesOneMemberWhileItIsHeard() {
        MemberSim sim = new MemberSim(31).hosts(4).network(0, 0, 300, 2_000);
        sim.startAll();
        sim.until(5 * SECOND_US);
        Node receiver = sim.node(0);
        Node attacker = sim.node(3);
        long victim = sim.node(1).membership().self().id();
        long unknown = Envelope.idOf("ghost");
        long incarnation = sim.node(1).membership().self().incarnation();
        sim.deliver(attacker, receiver, Envelope.from(victim, incarnation + 5).toBytes(-1));
        sim.deliver(attacker, receiver, Envelope.from(unknown, incarnation).toBytes(-1));
        assertEquals(1, receiver.membership().member(victim).peerIndex);
        assertEquals(incarnation, receiver.membership().member(victim).incarnation());
        assertEquals(null, receiver.membership().member(unknown));
        assertTrue(receiver.membership().isLive(victim)
                && receiver.membership().isLive(attacker.membership().self().id()));
        // After its member is gone, the index may be taken by another one.
        sim.kill(attacker);
        sim.until(8 * SECOND_US);
        sim.start(attacker);
        attacker.membership().leave(EPOCH_US + sim.us());
        sim.kill(attacker);
        sim.until(12 * SECOND_US);
        sim.deliver(attacker, receiver, Envelope.from(unknown, incarnation).toBytes(-1));
        assertEquals(3, receiver.membership().member(unknown).peerIndex);
    }

    /** With two processes of one name the earlier one stops, both log it, and no further state changes follow. */
    @Test
    void duplicateNamesDoNotFlap() {
        MemberSim sim = new MemberSim(12).network(0, 0, 300, 2_000);
        for (String name : new String[] {"n0", "n1", "n2", "n3"}) {
            sim.host(name, 0, 1, 2, 3, 4);
        }
        Node twin = sim.host("n1", 0, 1, 2, 3, 4);
        for (int i = 0; i < 4; i++) {
            sim.start(sim.node(i));
        }
        sim.until(5 * SECOND_US);
        sim.start(twin);
        sim.until(60 * SECOND_US);
        assertTrue(
                hasLogged(sim.node(1), "another process of this name"),
                sim.node(1).notes.toString());
        assertTrue(hasLogged(twin, "another process of this name"), twin.notes.toString());
        assertTrue(sim.node(1).membership().isStopped() && !twin.membership().isStopped());
        int before = sim.node(0).notes.size();
        sim.until(120 * SECOND_US);
        assertEquals(before, sim.node(0).notes.size(), sim.node(0).notes.toString());
        assertEquals(4, sim.node(0).membership().view().liveCount());
    }

    /** Peer lists of 5, 6 and 7 names in different orders must not lead to a member being taken for another one. */
    @Test
    void differingPeerListsAreResolvedFromReplies() {
        MemberSim sim = new MemberSim(13).network(0.05, 0, 300, 20_000);
        sim.host("n0", 0, 1, 2, 3, 4, 5, 6);
        sim.host("n1", 6, 5, 4, 3, 2, 1, 0);
        sim.host("n2", 2, 0, 1, 3, 4);
        sim.host("n3", 3, 2, 1, 0, 4, 5);
        sim.host("n4", 0, 1, 2, 3, 4, 5, 6);
        sim.host("n5", 5, 0, 1, 2, 3, 4);
        sim.host("n6", 0, 1, 2, 3, 4, 5, 6);
        sim.startAll();
        sim.until(60 * SECOND_US);
        for (Node n : sim.nodes()) {
            for (Node of : sim.nodes()) {
                if (n != of && MemberSim.state(n, of) != null) {
                    assertEquals(Member.State.ALIVE, MemberSim.state(n, of), n.name + " of " + of.name);
                }
            }
        }
        assertEquals(7, sim.node(0).membership().view().liveCount());
        sim.kill(sim.node(4));
        sim.until(sim.us() + 2 * DETECTION_BOUND_US);
        assertEquals(Member.State.DEAD, MemberSim.state(sim.node(0), sim.node(4)));
    }

    @ParameterizedTest
    @CsvSource({"5000000", "-5000000", "3600000000", "-3600000000"})
    void clockJumpKillsNobody(long us) {
        MemberSim sim = startFleet(6, 14, 0.05);
        sim.jump(sim.node(2), us);
        sim.until(sim.us() + 15 * SECOND_US);
        for (Node n : sim.nodes()) {
            assertEquals(0, sim.seenAs(n, Member.State.DEAD), n.name);
        }
    }

    /** A process that restarts with a clock behind that of its predecessor must be accepted despite its smaller incarnation. */
    @Test
    void restartWithEarlierClockRejoins() {
        MemberSim sim = startFleet(6, 15, 0);
        sim.kill(sim.node(1));
        sim.until(sim.us() + DETECTION_BOUND_US);
        sim.jump(sim.node(1), -600 * SECOND_US);
        sim.start(sim.node(1));
        sim.until(sim.us() + 3 * SECOND_US);
        assertEquals(5, sim.seenAs(sim.node(1), Member.State.ALIVE));
    }

    /** A sidecar of the previous program version, which doesn't take part in the membership, must count as live while it sends. */
    @Test
    void legacySidecarCountsAsLive() {
        MemberSim sim = new MemberSim(16).hosts(3);
        sim.start(sim.node(0));
        sim.start(sim.node(1));
        for (int i = 0; i < 40; i++) {
            sim.node(0).membership().onLegacyDatagram(EPOCH_US + sim.us(), 2);
            sim.until(sim.us() + 500_000);
        }
        assertEquals(3, sim.node(0).membership().view().liveCount());
        sim.until(sim.us() + 12 * SECOND_US);
        assertEquals(2, sim.node(0).membership().view().liveCount(), "a silent legacy sidecar still counts");
    }

    /** Corrupt, truncated or forged datagrams from a known address must not throw, nor make a member dead. */
    @Test
    void corruptDatagramsChangeNothing() {
        MemberSim sim = startFleet(5, 17, 0);
        SplittableRandom random = new SplittableRandom(17);
        Envelope envelope = Envelope.from(
                Envelope.idOf("n1"), sim.node(1).membership().self().incarnation());
        byte[] valid = envelope.addSection(UPDATES, ByteBuffer.allocate(36).put(new byte[36]))
                .toBytes(-1);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = Arrays.copyOf(valid, random.nextInt(2) == 0 ? valid.length : random.nextInt(valid.length));
            for (int flips = random.nextInt(4) + (bytes.length == valid.length ? 1 : 0);
                    flips > 0 && bytes.length > 0;
                    flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            sim.deliver(sim.node(1), sim.node(0), bytes);
        }
        sim.until(sim.us() + 2 * SECOND_US);
        assertConverges(sim, SECOND_US);
    }

    /** Well-formed updates with an incarnation far in the future, an unknown state or an unknown zone must be ignored. */
    @Test
    void implausibleUpdatesAreIgnored() {
        MemberSim sim = startFleet(5, 18, 0);
        Node n0 = sim.node(0);
        long maxIncarnation = (1L << 48) - 1;
        long currentIncarnation = sim.node(2).membership().self().incarnation();
        for (long[] forged :
                new long[][] {{maxIncarnation, 2, 0}, {currentIncarnation, 9, 0}, {currentIncarnation, 2, 77}}) {
            ByteBuffer b = ByteBuffer.allocate(Member.WIRE_BYTES);
            Envelope.put48(b, Envelope.idOf("n2"));
            Envelope.put48(b, forged[0]);
            b.put((byte) forged[1])
                    .put((byte) forged[2])
                    .putShort((short) 2)
                    .put((byte) 1)
                    .put((byte) 0);
            sim.deliver(
                    sim.node(1),
                    n0,
                    Envelope.from(
                                    Envelope.idOf("n1"),
                                    sim.node(1).membership().self().incarnation())
                            .addSection(UPDATES, b)
                            .toBytes(-1));
            assertEquals(Member.State.ALIVE, MemberSim.state(n0, sim.node(2)));
            assertEquals(
                    currentIncarnation,
                    n0.membership().member(Envelope.idOf("n2")).incarnation());
        }
        sim.deliver(
                sim.node(1),
                n0,
                Envelope.from(Envelope.idOf("n9"), maxIncarnation).toBytes(-1));
        assertNull(n0.membership().member(Envelope.idOf("n9")));
    }

    /** A member that is falsely reported dead must refute it. */
    @Test
    void falseDeathIsRefuted() {
        MemberSim sim = startFleet(6, 19, 0.1);
        long incarnation = sim.node(3).membership().self().incarnation();
        ByteBuffer b = ByteBuffer.allocate(Member.WIRE_BYTES);
        Envelope.put48(b, Envelope.idOf("n3"));
        Envelope.put48(b, incarnation + 5);
        b.put((byte) Member.State.DEAD.ordinal())
                .put((byte) 0)
                .putShort((short) 3)
                .put((byte) 1)
                .put((byte) 0);
        sim.deliver(
                sim.node(1),
                sim.node(0),
                Envelope.from(
                                Envelope.idOf("n1"),
                                sim.node(1).membership().self().incarnation())
                        .addSection(UPDATES, b)
                        .toBytes(-1));
        assertEquals(Member.State.DEAD, MemberSim.state(sim.node(0), sim.node(3)));
        sim.until(sim.us() + 2 * SECOND_US);
        assertConverges(sim, CONVERGENCE_BOUND_US);
        assertEquals(incarnation + 6, sim.node(3).membership().self().incarnation());
    }

    /** An envelope of the reserved length would be taken for a datagram of the previous program version, so it is padded. */
    @Test
    void envelopeNeverHasTheReservedLength() {
        for (int section = 0; section < 200; section++) {
            Envelope envelope = Envelope.from(5, 6)
                    .addSection(ANY_SECTION, ByteBuffer.allocate(section).put(new byte[section]));
            int length = envelope.toBytes(-1).length;
            Envelope again = Envelope.from(5, 6)
                    .addSection(ANY_SECTION, ByteBuffer.allocate(section).put(new byte[section]));
            byte[] padded = again.toBytes(length);
            assertEquals(length + 1, padded.length);
            assertEquals(1, Envelope.parse(padded).sections().size());
        }
    }

    @Test
    void trafficPerMemberDoesNotGrowWithTheFleet() {
        double small = MemberFigures.measure(10, 0, false, 0, 1).bytesPerS();
        double large = MemberFigures.measure(120, 0, false, 0, 1).bytesPerS();
        assertTrue(large < 1.1 * small && large < 700, small + " and " + large + " bytes a second");
    }
}
