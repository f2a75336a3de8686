package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** What a killed process held is excused, from the order to its end, and nothing before or after. */
class OneAnswerTest {
    private static Observation node(long us, String text) {
        return new Observation(us, EventType.NODE, "n0", null, null, null, text, 0, 0);
    }

    private static List<Observation> request(long askedUs, long brokeUs) {
        return List.of(
                new Observation(askedUs, EventType.ASKED, "n0", null, "a", "a", "read", 800, askedUs),
                new Observation(brokeUs, EventType.BROKE, "n0", null, "a", null, "reset", 1, askedUs));
    }

    private static int lost(long askedUs, long brokeUs) throws Exception {
        List<Observation> all = new java.util.ArrayList<>(request(askedUs, brokeUs));
        all.add(node(3_000_000, "kill"));
        all.add(node(3_060_000, "exit 137"));
        all.add(node(9_000_000, "exit 0"));
        return new OneAnswer()
                .check(new Run(ScenarioReader.read("demo", java.util.Map.of()), all))
                .size();
    }

    /** The signal is sent by a program of its own: on a busy machine it came 59 ms after the order. */
    @Test
    void whatWasAskedBetweenTheOrderAndTheKillIsExcused() throws Exception {
        assertEquals(0, lost(3_014_000, 3_059_000));
        assertEquals(0, lost(2_900_000, 3_020_000));
    }

    @Test
    void whatBrokeBeforeOrWasAskedAfterIsLost() throws Exception {
        assertEquals(1, lost(2_900_000, 2_990_000));
        assertEquals(1, lost(3_100_000, 3_200_000));
        assertEquals(1, lost(8_000_000, 8_100_000));
    }

    /** The first request of a connection, asked for, sent for the last time and broken at these times, where a process is killed by 3.06 s. */
    private static int lostOfNew(long askedUs, long connectsUs, long sentUs, long brokeUs) throws Exception {
        List<Observation> all = new java.util.ArrayList<>(List.of(
                node(3_000_000, "kill"),
                node(3_060_000, "exit 137"),
                node(4_000_000, "started"),
                new Observation(askedUs, EventType.ASKED, "n0", null, "a", "a", "read", 800, askedUs),
                new Observation(brokeUs, EventType.BROKE, "n0", null, "a", null, "reset", 0, sentUs, connectsUs, 0)));
        return new OneAnswer()
                .check(new Run(ScenarioReader.read("demo", java.util.Map.of()), all))
                .size();
    }

    /** Guards against blaming a node for a connection to the killed process on which a late laboratory sent only after its end. */
    @Test
    void aConnectionOfTheKilledProcessIsItsOwnHoweverLateItIsSentOn() throws Exception {
        assertEquals(0, lostOfNew(3_080_000, 3_050_000, 3_080_000, 3_082_000));
        assertEquals(1, lostOfNew(3_080_000, 3_070_000, 3_080_000, 3_082_000));
    }

    /** Guards against excusing what the next process broke: on a connection made after the kill, or sent when it had started. */
    @Test
    void whatTheNextProcessBreaksIsNotExcusedByAKill() throws Exception {
        assertEquals(1, lostOfNew(2_990_000, 4_700_000, 4_700_000, 4_710_000));
        assertEquals(1, lostOfNew(4_050_000, 3_050_000, 4_050_000, 4_060_000));
    }

    /** Its end was heard of after the next process had started: what that one is asked is its own to answer. */
    @Test
    void anEndThatIsHeardOfLateExcusesNothingOfTheNextProcess() throws Exception {
        Seen seen = new Seen().node(3_000, "kill").node(3_100, "started").node(3_400, "exit 137");
        assertEquals(1, seen.asked(3_200, "a").gaveUp(4_070, "a").violations(new OneAnswer()));
    }

    private static Seen stopped() {
        return new Seen()
                .node(1_000, "stop")
                .node(1_010, "stop sent")
                .node(1_950, "cont")
                .node(1_960, "cont sent");
    }

    /** Guards against excusing whoever asks around a stop: with half a second and more after it there is time for an answer. */
    @Test
    void whoHasTimeLeftAfterAStopIsOwedAnAnswer() throws Exception {
        assertEquals(0, stopped().asked(1_500, "a").gaveUp(2_370, "a").violations(new OneAnswer()));
        assertEquals(1, stopped().asked(1_800, "a").gaveUp(2_670, "a").violations(new OneAnswer()));
        assertEquals(1, stopped().asked(2_300, "a").gaveUp(3_170, "a").violations(new OneAnswer()));
    }

    /** Guards against excusing a process that closes connections with no answer once it goes on. */
    @Test
    void aStopBreaksNoConnection() throws Exception {
        assertEquals(1, stopped().asked(1_500, "a").broke(1_970, "a").violations(new OneAnswer()));
    }

    /** Signals take their time to be sent: only a stop that was longer than a short one for certain excuses. */
    @Test
    void aStopIsExcusedByWhatIsSureOfItsLength() throws Exception {
        Seen slowSignal = new Seen()
                .node(1_000, "stop")
                .node(1_300, "stop sent")
                .node(1_450, "cont")
                .node(1_460, "cont sent");
        assertEquals(1, slowSignal.asked(1_350, "a").gaveUp(2_220, "a").violations(new OneAnswer()));
        Seen longStop = new Seen()
                .node(1_000, "stop")
                .node(1_010, "stop sent")
                .node(1_450, "cont")
                .node(1_900, "cont sent");
        assertEquals(0, longStop.asked(1_350, "a").gaveUp(2_220, "a").violations(new OneAnswer()));
    }
}
