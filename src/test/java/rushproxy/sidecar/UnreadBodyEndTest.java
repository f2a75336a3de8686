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
        end.observe(new Observation(START_US + atUs, LENGTH - passedOn, unread, passedOn, agoUs, window));
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

    /** Guards against cutting off a client whose small socket keeps it writing, while its server takes enough in the time. */
    @Test
    void aServerThatTakesEnoughGivesALargeBodyTime() {
        observe(TICK_US, 300_000, FULL, TICK_US, ReceiveWindow.SHUT);
        int held = FULL + UnreadBodyEnd.UPSTREAM_SOCKETS_BYTES;
        observe(2 * TICK_US, held - 1, FULL, 0, ReceiveWindow.SHUT);
        assertEquals(0, estimateAfterStartUs());
        observe(3 * TICK_US, held, FULL, 0, ReceiveWindow.SHUT);
        assertEquals(3 * TICK_US, estimateAfterStartUs());
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
        assertEquals(NOT_WRITTEN, end.estimateUs());
    }

    /** Guards against an estimate that is lost in the moment in which the client refills the receive buffer. */
    @Test
    void roomThatHasJustArisenTellsNothing() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        observe(2 * TICK_US, 920_000, FULL / 2, 0, ReceiveWindow.OPEN);
        assertEquals(0, estimateAfterStartUs());
    }

    /** Guards against a time that starts from an earlier pause of the server, between which the client went on writing. */
    @Test
    void anEstimateDoesNotOutliveALongReading() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        observe(1_000_000, 860_000, FULL - 10_000, 0, ReceiveWindow.OPEN);
        assertEquals(NOT_WRITTEN, end.estimateUs());
    }

    /** Guards against later estimates where the kernel does not tell whether the buffer is full. */
    @Test
    void aLargeOrUnchangedUnreadPartStandsForAFullBuffer() {
        observe(TICK_US, 850_000, FULL, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
        assertTrue(estimateAfterStartUs() <= 2 * TICK_US);
        observe(2 * TICK_US, 990_000, 0, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
        assertEquals(NOT_WRITTEN, end.estimateUs());
        for (long atUs = 3 * TICK_US; atUs < 3 * TICK_US + UnreadBodyEnd.SILENCE_US; atUs += TICK_US) {
            observe(atUs, 990_000, 5_000, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
            assertEquals(NOT_WRITTEN, end.estimateUs());
        }
        observe(3 * TICK_US + UnreadBodyEnd.SILENCE_US, 990_000, 5_000, TcpInfo.UNKNOWN, ReceiveWindow.UNKNOWN);
        assertTrue(estimateAfterStartUs() <= 4 * TICK_US);
    }

    /** Guards against a last byte whose time counts from its late reading, or that is overdue by a mere estimate. */
    @Test
    void aLastByteIsAsOldAsEstimatedUnlessThatMakesItOverdue() {
        observe(TICK_US, 850_000, FULL, TICK_US, ReceiveWindow.SHUT);
        long readUs = START_US + 3 * TICK_US;
        assertEquals(START_US, end.writtenUs(readUs, estimateUs -> false));
        assertEquals(readUs, end.writtenUs(readUs, estimateUs -> true));
        observe(2 * TICK_US, 860_000, FULL, 2 * TICK_US, ReceiveWindow.SHUT);
        assertEquals(START_US, end.writtenUs(readUs, estimateUs -> true));
    }

    /** Guards against a large body that is overdue as soon as it is complete, though its server took it quickly. */
    @Test
    void aLastByteIsNoOlderThanTheServersPaceTells() {
        observe(TICK_US, 100_000, FULL, TICK_US, ReceiveWindow.SHUT);
        observe(5 * TICK_US, FULL + UnreadBodyEnd.UPSTREAM_SOCKETS_BYTES, FULL, 0, ReceiveWindow.SHUT);
        assertEquals(START_US + 5 * TICK_US, end.writtenUs(START_US + 6 * TICK_US, estimateUs -> false));
    }
}
