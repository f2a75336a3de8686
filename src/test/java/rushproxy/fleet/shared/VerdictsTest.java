package rushproxy.fleet.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.Evidence;
import rushproxy.lab.sim.SharedSim;

/** Verdicts of a simulated fleet on its servers, and which witnesses count. */
class VerdictsTest {
    private static final long SECOND_US = 1_000_000;
    private SharedSim sim;

    @BeforeEach
    void start() {
        Map<String, Integer> servers = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            servers.put("s" + i, i % 2);
        }
        sim = new SharedSim(21, 8, 2, 0.1, 0, 30_000).servers(servers);
        sim.startAll();
        sim.until(2 * SECOND_US);
    }

    /** Lets these members record the evidence every second until the given time. */
    private void observeUntil(String server, Evidence kind, double factor, long untilUs, int... members) {
        for (int m : members) {
            if (sim.node(m).up()) {
                sim.node(m).verdicts().recordEvidence(sim.node(m).clock(), server, kind, factor);
            }
        }
        if (sim.us() + SECOND_US < untilUs) {
            sim.later(SECOND_US, () -> observeUntil(server, kind, factor, untilUs, members));
        }
    }

    private Verdicts.Assessment assessment(int member, String server) {
        return sim.node(member).cases().stream()
                .filter(c -> c.server().equals(server))
                .findFirst()
                .orElse(null);
    }

    private boolean holds(int member, String server) {
        Verdicts.Assessment assessment = assessment(member, server);
        return assessment != null && assessment.verdict().confirmed();
    }

    private List<Integer> membersWhereItHolds(String server) {
        List<Integer> holding = new ArrayList<>();
        for (int m = 0; m < 8; m++) {
            if (sim.node(m).up() && holds(m, server)) {
                holding.add(m);
            }
        }
        return holding;
    }

    private boolean hasLogged(int member, String text) {
        return sim.node(member).notes.stream().anyMatch(n -> n.contains(text));
    }

    @Test
    void twoWitnessesFromTwoZonesMakeAVerdictThatExpires() {
        observeUntil("s3", Evidence.SILENT, 1, 6 * SECOND_US, 0, 1);
        sim.until(8 * SECOND_US);
        assertEquals(8, membersWhereItHolds("s3").size());
        assertTrue(
                hasLogged(5, "s3 is silent as reported by") && hasLogged(5, "n0 ("),
                sim.node(5).notes.toString());
        sim.until(6 * SECOND_US + (Table.VERDICTS.leaseMs() + 1_000) * 1_000 + Verdicts.EVIDENCE_TTL_US);
        assertTrue(membersWhereItHolds("s3").isEmpty());
        assertTrue(hasLogged(5, "the verdict against s3 is lifted"));
    }

    @Test
    void singleWitnessMakesNoVerdict() {
        observeUntil("s3", Evidence.FAILING, 1, 20 * SECOND_US, 0);
        sim.until(10 * SECOND_US);
        assertTrue(membersWhereItHolds("s3").isEmpty());
        assertEquals("only one witness", assessment(5, "s3").reason());
    }

    @Test
    void witnessesOfOneZoneCountOnlyInThatZone() {
        // All witnesses are in zone 0 and s3 is not, so the fault may be in the network between the zones.
        observeUntil("s3", Evidence.SILENT, 1, 20 * SECOND_US, 0, 2, 4);
        sim.until(10 * SECOND_US);
        assertEquals(List.of(0, 2, 4, 6), membersWhereItHolds("s3"));
        assertEquals("seen from only one other zone", assessment(1, "s3").reason());
    }

    @Test
    void witnessesOfTheServersOwnZoneCountEverywhere() {
        observeUntil("s2", Evidence.SILENT, 1, 20 * SECOND_US, 0, 2);
        sim.until(10 * SECOND_US);
        assertEquals(8, membersWhereItHolds("s2").size());
    }

    @Test
    void positiveReportsOutweighAccusations() {
        observeUntil("s3", Evidence.FAILING, 1, 30 * SECOND_US, 0, 1);
        sim.until(6 * SECOND_US);
        assertTrue(holds(5, "s3"));
        observeUntil("s3", Evidence.GOOD, 1, 30 * SECOND_US, 2, 3, 4);
        sim.until(12 * SECOND_US);
        assertFalse(holds(5, "s3"));
        assertEquals("outweighed by good reports", assessment(5, "s3").reason());
    }

    @Test
    void recoveredServerClearsTheVerdict() {
        observeUntil("s3", Evidence.SILENT, 1, 5 * SECOND_US, 0, 1);
        sim.until(6 * SECOND_US);
        assertTrue(holds(5, "s3"));
        observeUntil("s3", Evidence.GOOD, 1, 7 * SECOND_US, 0, 1);
        sim.until(10 * SECOND_US);
        assertTrue(membersWhereItHolds("s3").isEmpty());
    }

    /** Otherwise the log does not explain why a verdict lapsed. */
    @Test
    void changesOfOwnEvidenceAreLoggedOnce() {
        observeUntil("s3", Evidence.SILENT, 1, 5 * SECOND_US, 0, 1);
        sim.until(6 * SECOND_US);
        observeUntil("s3", Evidence.SLOW, 2, 7 * SECOND_US, 0);
        sim.until(40 * SECOND_US);
        List<String> logged = sim.node(0).notes.stream()
                .filter(n -> n.contains("this sidecar reports"))
                .map(n -> n.substring(n.indexOf("this")))
                .toList();
        assertEquals(
                List.of(
                        "this sidecar reports that s3 is silent",
                        "this sidecar reports that s3 is slow, previously: silent",
                        "this sidecar reports nothing about s3 any more"),
                logged);
    }

    @Test
    void slowVerdictHasTheSmallestFactor() {
        observeUntil("s3", Evidence.SLOW, 4, 20 * SECOND_US, 0);
        observeUntil("s3", Evidence.SLOW, 2.5, 20 * SECOND_US, 1);
        sim.until(10 * SECOND_US);
        assertEquals(2.5, assessment(6, "s3").verdict().factor(), 0.1);
        assertEquals(Evidence.SLOW, assessment(6, "s3").verdict().evidence());
    }

    @Test
    void tooManyVerdictsAreIgnored() {
        for (int s = 0; s < 4; s++) {
            observeUntil("s" + s, Evidence.SILENT, 1, 30 * SECOND_US, 2 * s % 8, (2 * s + 1) % 8);
        }
        sim.until(8 * SECOND_US);
        assertTrue(
                membersWhereItHolds("s0").isEmpty() && membersWhereItHolds("s3").isEmpty());
        assertTrue(
                hasLogged(6, "4 of 12 servers: too many, all are ignored"),
                sim.node(6).notes.toString());
    }

    @Test
    void accuserOfMostServersSuspectsItself() {
        for (int s = 0; s < 8; s++) {
            observeUntil("s" + s, Evidence.SILENT, 1, 30 * SECOND_US, 1);
        }
        observeUntil("s2", Evidence.SILENT, 1, 30 * SECOND_US, 4);
        sim.until(10 * SECOND_US);
        assertTrue(membersWhereItHolds("s2").isEmpty(), "it doesn't count as a second witness");
        assertTrue(
                hasLogged(1, "this sidecar accuses 8 of 12 servers: it suspects itself and publishes no reports"),
                sim.node(1).notes.toString());
    }

    /** A faulty or malicious member may publish reports although it should suspect itself. */
    @Test
    void witnessAccusingAllServersIsIgnored() {
        for (int s = 0; s < 12; s++) {
            byte[] report = {(byte) Evidence.FAILING.ordinal(), 0, 16, 9, 1};
            sim.node(1)
                    .store()
                    .put(
                            sim.node(1).clock(),
                            Table.VERDICTS,
                            rushproxy.fleet.Envelope.idOf("s" + s),
                            java.util.Arrays.copyOf(report, 6));
        }
        observeUntil("s2", Evidence.SILENT, 1, 30 * SECOND_US, 4);
        sim.until(6 * SECOND_US);
        assertTrue(membersWhereItHolds("s2").isEmpty());
        assertTrue(
                hasLogged(5, "n1 accuses") && hasLogged(5, "of 12 servers: its reports are ignored"),
                sim.node(5).notes.toString());
    }

    @Test
    void reportsOfDeadMembersAreDropped() {
        observeUntil("s3", Evidence.SILENT, 1, 30 * SECOND_US, 0, 1);
        sim.until(6 * SECOND_US);
        sim.kill(sim.node(1));
        sim.until(6 * SECOND_US + SharedSim.SEEN_US + 2 * SECOND_US);
        assertFalse(holds(5, "s3"));
    }

    @Test
    void storedWitnessesAreBounded() {
        observeUntil("s3", Evidence.SILENT, 1, 10 * SECOND_US, 0, 1, 2, 3, 4, 5, 6, 7);
        sim.until(10 * SECOND_US);
        assertTrue(
                sim.node(3).store().readAll(sim.node(3).clock(), Table.VERDICTS).size()
                        <= Table.VERDICTS.maxWritersPerKey());
        assertEquals(8, membersWhereItHolds("s3").size());
    }
}
