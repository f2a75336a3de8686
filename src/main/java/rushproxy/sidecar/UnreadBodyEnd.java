package rushproxy.sidecar;

/**
 * Estimates when a client has written the last byte of a body that is not read, because its server takes no more of it. The request's
 * time runs from then on, however late the byte is read. A client that is seen to be still writing is given time.
 */
final class UnreadBodyEnd {
    /** No estimate: the client can't have written the last byte. */
    static final long NOT_WRITTEN = 0;

    static final long UNKNOWN_LENGTH = -1;
    /** A receive buffer of 256 KiB holds at least this much when no more fits. */
    static final int FULL_SOCKET_BYTES = 200 * 1024;
    /** What the client's own socket may hold while the receive buffer is full. */
    static final int CLIENT_SOCKET_BYTES = 128 * 1024;

    private long estimateUs = NOT_WRITTEN;
    private boolean isCertain;
    private long passedOnBytes = -1;
    private int unreadBytes = -1;
    private long unchangedSinceUs;

    /**
     * @param missing  bytes of the body that have not been read; {@link #UNKNOWN_LENGTH} if its length is not known
     * @param unread   bytes that lie in the receive buffer
     * @param passedOn bytes of the body that have been read so far
     * @param agoUs    how long ago the client's last bytes arrived; {@link TcpInfo#UNKNOWN} if that is not known
     */
    void observe(long nowUs, long missing, int unread, long passedOn, long agoUs) {
        if (passedOn != passedOnBytes || unread != unreadBytes) {
            passedOnBytes = passedOn;
            unreadBytes = unread;
            unchangedSinceUs = nowUs;
        }
        if (missing == UNKNOWN_LENGTH) {
            // Whether the end is among the unread bytes can't be seen. While the server takes bytes the client may go
            // on.
            estimateUs = unread > 0 ? unchangedSinceUs : NOT_WRITTEN;
        } else if (unread >= missing) {
            keep(agoUs == TcpInfo.UNKNOWN ? nowUs : nowUs - agoUs);
            isCertain = true;
        } else if (unread >= FULL_SOCKET_BYTES && missing - unread <= CLIENT_SOCKET_BYTES) {
            keep(nowUs);
        } else if (!isCertain) {
            estimateUs = NOT_WRITTEN;
        }
    }

    private void keep(long sinceUs) {
        estimateUs = estimateUs == NOT_WRITTEN ? sinceUs : Math.min(estimateUs, sinceUs);
    }

    /** The earliest time at which the last byte may have been written; {@link #NOT_WRITTEN} if it has not been. */
    long estimateUs() {
        return estimateUs;
    }

    /** The same for a byte that has been read at last, if that was known to have been there. */
    long writtenUs(long readUs) {
        return isCertain ? Math.min(estimateUs, readUs) : readUs;
    }
}
