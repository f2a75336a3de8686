package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.RequestClass;

class ResponseDeadlinesTest {
    private static final long SENT_US = 1_000_000;
    private final EventLoopDelay loopDelay = new EventLoopDelay();
    private final ResponseDeadlines deadlines = new ResponseDeadlines(classes(), loopDelay);

    private static List<RequestClass> classes() {
        try {
            return SidecarRig.parseConfig(
                            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"known\":"
                                    + SidecarRig.listJson(1, true) + ",\"settings\":"
                                    + SidecarRig.SETTINGS.replace(
                                            "\"profiles\":[",
                                            "\"profiles\":["
                                                    + "{\"name\":\"tight\",\"semantics\":\"safe\",\"objective_us\":800000,\"give_up_us\":800000},")
                                    + "}")
                    .settings()
                    .classes();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private long marginUs(String requestClass, long remainingUs) {
        return SENT_US + remainingUs - deadlines.deadlineUs(requestClass, SENT_US, remainingUs);
    }

    @Test
    void reservesPartOfTheTimeAfterTheAim() {
        assertEquals(ResponseDeadlines.MAX_RESERVE_US, marginUs("c", 800_000));
        assertEquals(ResponseDeadlines.MIN_MARGIN_US, marginUs("tight", 800_000));
        assertEquals(ResponseDeadlines.MIN_MARGIN_US, marginUs("no such class", 800_000));
    }

    /**
     * Guards against a reserve that is too small: event loop delays of 0.15 s are expected at any time, and clients
     * wait up to 60 ms past their deadline.
     */
    @Test
    void marginCoversAnUnexpectedDelayBeforeTheClientLeaves() {
        long delayUs = 150_000;
        long clientGraceUs = 60_000;
        assertTrue(marginUs("c", 800_000) + clientGraceUs >= delayUs);
    }

    @Test
    void recentDelaysRaiseTheMarginAndDecay() {
        loopDelay.recordDelay(SENT_US, 50_000);
        assertEquals(ResponseDeadlines.MIN_MARGIN_US + 50_000, marginUs("tight", 800_000));
        // Missed heartbeats that run all at once don't count as elapsed time.
        for (int beat = 0; beat < 20; beat++) {
            loopDelay.recordDelay(SENT_US, 0);
        }
        assertEquals(ResponseDeadlines.MIN_MARGIN_US + 50_000, marginUs("tight", 800_000));
        loopDelay.recordDelay(SENT_US + 250_000, 0);
        assertEquals(ResponseDeadlines.MIN_MARGIN_US + 25_000, marginUs("tight", 800_000));
        for (int beat = 0; beat < 40; beat++) {
            loopDelay.recordDelay(SENT_US + 250_000 + beat * EventLoopDelay.HEARTBEAT_INTERVAL_US, 0);
        }
        assertTrue(marginUs("tight", 800_000) < ResponseDeadlines.MIN_MARGIN_US + 1_000);
    }

    @Test
    void marginTakesAtMostAQuarterOfAShortTime() {
        loopDelay.recordDelay(SENT_US, 500_000);
        assertEquals(5_000, marginUs("c", 20_000));
        assertEquals(200_000, marginUs("c", 800_000));
    }

    /**
     * Guards against the minimum margin on a loop that is constantly late, or late by less than the heartbeat interval.
     */
    @Test
    void eachLoopIterationReportsHowLongATimerWaits() {
        loopDelay.recordLoopStart(SENT_US);
        loopDelay.recordPoll(SENT_US, SENT_US + 50_000, SENT_US + 50_000);
        assertEquals(ResponseDeadlines.MIN_MARGIN_US, marginUs("tight", 800_000));
        // The loop wakes 30 ms late and works for 40 ms; the timers run after it has read its sockets again.
        loopDelay.recordPoll(SENT_US + 50_000, SENT_US + 100_000, SENT_US + 130_000);
        loopDelay.recordPoll(SENT_US + 170_000, SENT_US + 170_000, SENT_US + 170_000);
        assertEquals(ResponseDeadlines.MIN_MARGIN_US + 70_000, marginUs("tight", 800_000));
    }
}
