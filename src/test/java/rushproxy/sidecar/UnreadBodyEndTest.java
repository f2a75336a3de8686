package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushproxy.sidecar.UnreadBodyEnd.NOT_WRITTEN;

import org.junit.jupiter.api.Test;
import rushproxy.sidecar.TcpInfo.ReceiveWindow;
import rushproxy.sidecar.UnreadBodyEnd.Observation;

/** When the last byte of a body that is not read was written, told from what lies in the receive buffer. */
class UnreadBodyEndTest {
    private static final long START_US = 1_000_000;
    private static final long TICK_US = 20_000;
    private static final int LENGTH = 1_000_000;
    private static final int FULL = 140_000;

    private final UnreadBodyEnd end = new UnreadBodyEnd(START_US);

    private void observe(long atUs, long passedOn, int unread, long agoUs, ReceiveWindow window) {
        end.observe(new Observation(START_US + atUs, true, LENGTH - passedOn, unread, passedOn, agoUs, window));
    }

    /** The same of a body of unknown length. */
    private void observeChunks(long atUs, long passedOn, int unread, long agoUs, ReceiveWindow window) {
        end.observe(
                new Observation(START_US + atUs, true, UnreadBodyEnd.UNKNOWN_LENGTH, unread, passedOn, agoUs, window));
    }

    /** All that has come was read, and little is missing. */
    private void observeDrained(int tick) {
        end.observe(new Observation(START_US + tick * TICK_US, false, 5_000, 0, LENGTH - 5_000, 0, ReceiveWindow.OPEN));
    }

    private long estimateAfterStartUs() {
        assertTrue(end.estimateUs() != NOT_WRITTEN, "no estimate");
        return end.estimateUs() - START_US;
    }

    /** Guards against waiting for bytes that the client wrote but can't send, since a packet read in part fills the buffer. */
    @Test
    void aFullReceiveBufferWithFewUnreadBytesIsFull() {
        observe(TICK_US, LENGTH - 21_000, 7_000, TICK_US, ReceiveWindow.SHUT);
        assertEquals(0, estimateAfterStartUs());
    }

    /** Guards against the same where the client's own socket holds much. */
    @Test
    void aClientsSocketMayHoldTheRestOfALargeBody() {
        observe(TICK_US, 300_000, FULL, TICK_US, ReceiveWindow.SHUT);
        assertEquals(0, estimateAfterStartUs());
    }

    /** Guards against a final response that is late because a server that goes on reading renews the client's time. */
    @Test
    void aServerThatGoesOnReadingDoesNotRenewTheTime() {
        observe(TICK_US, 300_000, FULL, TICK_US, ReceiveWindow.SHUT);
        for (int tick = 2; tick < 60; tick++) {
            observe(tick * TICK_US, 300_000 + tick * 10_000, FULL, 0, ReceiveWindow.SHUT);
            assertEquals(0, estimateAfterStartUs());
        }
    }

    /** Guards against the same of a body in chunks, whose end may lie in what has arrived. */
    @Test
    void chunksThatAreReadDoNotRenewTheTime() {
        for (int tick = 1; tick < 100; tick++) {
            observeChunks(tick * TICK_US, tick * 10_000, FULL, 0, ReceiveWindow.SHUT);
            assertEquals(TICK_US, estimateAfterStartUs());
        }
    }

    /** Guards against the loss of long bodies in chunks that are read fast: a socket holds no more than it can. */
    @Test
    void chunksAreNoOlderThanWhatTheClientsSocketHolds() {
        long bytesPerTick = UnreadBodyEnd.CLIENT_SOCKET_BYTES / 10;
        for (int tick = 1; tick < 100; tick++) {
            observeChunks(tick * TICK_US, tick * bytesPerTick, FULL, 0, ReceiveWindow.SHUT);
            assertEquals(Math.max(1, tick - 10) * TICK_US, estimateAfterStartUs());
        }
    }

    /** Guards against a writer in chunks that is cut off, though its bytes are seen to come while its server reads none. */
    @Test
    void chunksThatStillComeAreNotOlderThanTheLastOfThem() {
        for (int tick = 1; tick < 100; tick++) {
            observeChunks(tick * TICK_US, 100_000, tick * 1_000, 0, ReceiveWindow.OPEN);
            assertEquals(tick * TICK_US, estimateAfterStartUs());
        }
    }

    /** Guards against a slow writer that is cut off because its server has not read for long. */
    @Test
    void aSlowWriterIsTakenToGoOnAtItsPace() {
        // 760,000 bytes in 2 s, 95,000 remain.
        observe(2_000_000, 760_000, 145_000, 0, ReceiveWindow.SHUT);
        assertEquals(2_000_000 + 209_945, estimateAfterStartUs());
    }

    /** Guards against the same where there is room in the receive buffer and nothing comes. */
    @Test
    void aClientThatLeavesRoomUnusedIsStillWriting() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        observe(2 * TICK_US, 920_000, FULL / 2, TICK_US, ReceiveWindow.OPEN);
        observe(2 * TICK_US + UnreadBodyEnd.PROBE_US, 920_000, FULL / 2, TICK_US, ReceiveWindow.OPEN);
        assertEquals(NOT_WRITTEN, end.estimateUs());
    }

    /** Guards against a late response because some room, of which the client's kernel may not know yet, is taken for unused. */
    @Test
    void someRoomTellsNothingBeforeTheNextProbe() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        for (int tick = 2; tick < 12; tick++) {
            observe(tick * TICK_US, 920_000, FULL / 2, tick * TICK_US, ReceiveWindow.OPEN);
            assertEquals(0, estimateAfterStartUs());
        }
    }

    /** Guards against an estimate that is lost in the moment in which the client refills the receive buffer. */
    @Test
    void roomThatHasJustArisenTellsNothing() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        observe(2 * TICK_US, 920_000, FULL / 2, 0, ReceiveWindow.OPEN);
        assertEquals(0, estimateAfterStartUs());
    }

    /** Guards against a time that starts from an earlier pause of the server, after which the client's socket was empty. */
    @Test
    void anEstimateEndsOnceAllHasBeenRead() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        observeDrained(2);
        assertEquals(0, estimateAfterStartUs());
        observeDrained(3);
        assertEquals(NOT_WRITTEN, end.estimateUs());
    }

    /** Guards against a time that is renewed by a hold-up of this process, in which nothing was observed. */
    @Test
    void anEstimateOutlivesAHoldUp() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        observe(1_000_000, 860_000, FULL - 10_000, 0, ReceiveWindow.OPEN);
        assertEquals(0, estimateAfterStartUs());
    }

    /** Guards against later estimates where the kernel does not tell whether the buffer is full. */
    @Test
    void aLargeOrUnchangedUnreadPartStandsForAFullBuffer() {
        observe(TICK_US, 850_000, FULL, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
        assertTrue(estimateAfterStartUs() <= 2 * TICK_US);
        observe(2 * TICK_US, 990_000, 0, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
        observe(3 * TICK_US, 990_000, 0, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
        assertEquals(NOT_WRITTEN, end.estimateUs());
        for (long atUs = 4 * TICK_US; atUs < 4 * TICK_US + UnreadBodyEnd.SILENCE_US; atUs += TICK_US) {
            observe(atUs, 990_000, 5_000, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
            assertEquals(NOT_WRITTEN, end.estimateUs());
        }
        observe(4 * TICK_US + UnreadBodyEnd.SILENCE_US, 990_000, 5_000, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
        assertTrue(estimateAfterStartUs() <= 5 * TICK_US);
    }

    /** Guards against a last byte whose time counts from its late reading, also where that time is over. */
    @Test
    void aLastByteIsAsOldAsEstimated() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        assertEquals(START_US, end.writtenUs(START_US + 3 * TICK_US));
        assertEquals(START_US, end.writtenUs(START_US + 3_000_000));
    }

    /** Guards against a last byte that is taken for older than its reading tells, though all before it had been read. */
    @Test
    void aLastByteThatWasAwaitedIsAsOldAsItsReading() {
        observeDrained(1);
        assertEquals(START_US + 2 * TICK_US, end.writtenUs(START_US + 2 * TICK_US));
    }
}
