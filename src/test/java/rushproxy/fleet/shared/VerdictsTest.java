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

/** What the fleet says of servers, and whom it believes. */
class VerdictsTest {
    private static final long S = 1_000_000;
    private SharedSim sim;

    @BeforeEach
    void start() {
        Map<String, Integer> servers = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            servers.put("s" + i, i % 2);
        }
        sim = new SharedSim(21, 8, 2, 0.1, 0, 30_000).servers(servers);
        sim.startAll();
        sim.until(2 * S);
    }

    /** The members with these numbers go on seeing it, until the time. */
    private void sees(String server, Evidence kind, double factor, long untilUs, int... members) {
        for (int m : members) {
            if (sim.node(m).up()) {
                sim.node(m).verdicts().recordEvidence(sim.node(m).clock(), server, kind, factor);
            }
        }
        if (sim.us() + S < untilUs) {
            sim.later(S, () -> sees(server, kind, factor, untilUs, members));
        }
    }

    private Verdicts.Assessment of(int member, String server) {
        return sim.node(member).cases().stream()
                .filter(c -> c.server().equals(server))
                .findFirst()
                .orElse(null);
    }

    private boolean holds(int member, String server) {
        Verdicts.Assessment c = of(member, server);
        return c != null && c.verdict().holds();
    }

    private List<Integer> whereHolds(String server) {
        List<Integer> where = new ArrayList<>();
        for (int m = 0; m < 8; m++) {
            if (sim.node(m).up() && holds(m, server)) {
                where.add(m);
            }
        }
        return where;
    }

    private boolean noted(int member, String words) {
        return sim.node(member).notes.stream().anyMatch(n -> n.contains(words));
    }

    @Test
    void twoWitnessesOfTwoZonesAreBelievedAndItEndsByItself() {
        sees("s3", Evidence.SILENT, 1, 6 * S, 0, 1);
        sim.until(8 * S);
        assertEquals(8, whereHolds("s3").size());
        assertTrue(
                noted(5, "s3 is silent by word of") && noted(5, "n0 ("),
                sim.node(5).notes.toString());
        sim.until(6 * S + (Table.VERDICTS.leaseMs() + 1_000) * 1_000 + Verdicts.EVIDENCE_TTL_US);
        assertTrue(whereHolds("s3").isEmpty());
        assertTrue(noted(5, "nothing is held against s3 any more"));
    }

    @Test
    void oneVoiceIsAnAccusationAlone() {
        sees("s3", Evidence.FAILING, 1, 20 * S, 0);
        sim.until(10 * S);
        assertTrue(whereHolds("s3").isEmpty());
        assertEquals("one witness alone", of(5, "s3").reason());
    }

    @Test
    void witnessesOfOneZoneCountThereAlone() {
        // Even numbers are in zone 0, s3 is not: it may be well, and the way to it not.
        sees("s3", Evidence.SILENT, 1, 20 * S, 0, 2, 4);
        sim.until(10 * S);
        assertEquals(List.of(0, 2, 4, 6), whereHolds("s3"));
        assertEquals("seen from one other zone alone", of(1, "s3").reason());
    }

    @Test
    void witnessesOfTheServersOwnZoneCountEverywhere() {
        sees("s2", Evidence.SILENT, 1, 20 * S, 0, 2);
        sim.until(10 * S);
        assertEquals(8, whereHolds("s2").size());
    }

    @Test
    void asManyWhoFindItGoodOutweighThoseWhoDoNot() {
        sees("s3", Evidence.FAILING, 1, 30 * S, 0, 1);
        sim.until(6 * S);
        assertTrue(holds(5, "s3"));
        sees("s3", Evidence.GOOD, 1, 30 * S, 2, 3, 4);
        sim.until(12 * S);
        assertFalse(holds(5, "s3"));
        assertEquals("others find it good", of(5, "s3").reason());
    }

    @Test
    void aWitnessThatFindsItGoodAgainTakesItsWordBackAtOnce() {
        sees("s3", Evidence.SILENT, 1, 5 * S, 0, 1);
        sim.until(6 * S);
        assertTrue(holds(5, "s3"));
        sees("s3", Evidence.GOOD, 1, 7 * S, 0, 1);
        sim.until(10 * S);
        assertTrue(whereHolds("s3").isEmpty());
    }

    /** A verdict that lapsed, and nothing in the log said whose word had changed to what. */
    @Test
    void theOwnWordAndItsChangesAreLoggedOnceEach() {
        sees("s3", Evidence.SILENT, 1, 5 * S, 0, 1);
        sim.until(6 * S);
        sees("s3", Evidence.SLOW, 2, 7 * S, 0);
        sim.until(40 * S);
        List<String> own = sim.node(0).notes.stream()
                .filter(n -> n.contains("this sidecar says"))
                .map(n -> n.substring(n.indexOf("this")))
                .toList();
        assertEquals(
                List.of(
                        "this sidecar says that s3 is silent",
                        "this sidecar says that s3 is slow, before: silent",
                        "this sidecar says nothing of s3 any more"),
                own);
    }

    @Test
    void slownessIsToldWithTheLeastFactorAndDoesNotPutOut() {
        sees("s3", Evidence.SLOW, 4, 20 * S, 0);
        sees("s3", Evidence.SLOW, 2.5, 20 * S, 1);
        sim.until(10 * S);
        assertEquals(2.5, of(6, "s3").verdict().factor(), 0.1);
        assertEquals(Evidence.SLOW, of(6, "s3").verdict().kind());
    }

    @Test
    void tooManyAtOnceCountForNothing() {
        for (int s = 0; s < 4; s++) {
            sees("s" + s, Evidence.SILENT, 1, 30 * S, 2 * s % 8, (2 * s + 1) % 8);
        }
        sim.until(8 * S);
        assertTrue(whereHolds("s0").isEmpty() && whereHolds("s3").isEmpty());
        assertTrue(
                noted(6, "4 of 12 servers: too many to believe, none counts"),
                sim.node(6).notes.toString());
    }

    @Test
    void whoAccusesMostServersIsItselfTheSuspect() {
        for (int s = 0; s < 8; s++) {
            sees("s" + s, Evidence.SILENT, 1, 30 * S, 1);
        }
        sees("s2", Evidence.SILENT, 1, 30 * S, 4);
        sim.until(10 * S);
        assertTrue(whereHolds("s2").isEmpty(), "it is no second witness");
        assertTrue(
                noted(1, "this sidecar accuses 8 of 12 servers: it is itself the suspect, and tells nobody"),
                sim.node(1).notes.toString());
    }

    /** One that goes on telling all the same. */
    @Test
    void aLiarWhoAccusesAllIsLeftOut() {
        for (int s = 0; s < 12; s++) {
            byte[] word = {(byte) Evidence.FAILING.ordinal(), 0, 16, 9, 1};
            sim.node(1)
                    .store()
                    .put(
                            sim.node(1).clock(),
                            Table.VERDICTS,
                            rushproxy.fleet.Envelope.idOf("s" + s),
                            java.util.Arrays.copyOf(word, 6));
        }
        sees("s2", Evidence.SILENT, 1, 30 * S, 4);
        sim.until(6 * S);
        assertTrue(whereHolds("s2").isEmpty());
        assertTrue(
                noted(5, "n1 accuses") && noted(5, "of 12 servers: its word is left out"),
                sim.node(5).notes.toString());
    }

    @Test
    void theWordOfTheDeadGoesAwayWithThem() {
        sees("s3", Evidence.SILENT, 1, 30 * S, 0, 1);
        sim.until(6 * S);
        sim.kill(sim.node(1));
        sim.until(6 * S + SharedSim.SEEN_US + 2 * S);
        assertFalse(holds(5, "s3"));
    }

    @Test
    void enoughWitnessesSufficeForThousands() {
        sees("s3", Evidence.SILENT, 1, 10 * S, 0, 1, 2, 3, 4, 5, 6, 7);
        sim.until(10 * S);
        assertTrue(
                sim.node(3).store().readAll(sim.node(3).clock(), Table.VERDICTS).size()
                        <= Table.VERDICTS.maxWritersPerKey());
        assertEquals(8, whereHolds("s3").size());
    }
}
