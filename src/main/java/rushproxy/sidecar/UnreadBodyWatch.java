package rushproxy.sidecar;

import java.util.concurrent.TimeUnit;

/**
 * Watches a connection while the body of its current request is not read. The time of a request runs from when its client wrote the last
 * byte, also while that can't be read; when it is over the request fails.
 */
final class UnreadBodyWatch {
    private static final long CHECK_INTERVAL_MS = 20;

    /** The request whose body is watched. */
    interface Upload {
        /** Whether its body is being passed on and not read, because its server takes no more. */
        boolean isUnread();

        /** Bytes of the body that have not been read; {@link UnreadBodyEnd#UNKNOWN_LENGTH} if its length is not known. */
        long missingBytes();

        /** Bytes of the body that have been read. */
        long readBytes();

        /** The deadline if the last byte was written at {@code writtenUs}. */
        long deadlineUs(long writtenUs);

        /** The deadline has passed. */
        void fail();
    }

    private final TcpConnection connection;
    private final Clock clock;
    private final Upload upload;
    private UnreadBodyEnd end = new UnreadBodyEnd(0);
    private boolean watching;

    UnreadBodyWatch(TcpConnection connection, Clock clock, Upload upload) {
        this.connection = connection;
        this.clock = clock;
        this.upload = upload;
    }

    /** The next request has begun. */
    void restart(long sentUs) {
        end = new UnreadBodyEnd(sentUs);
    }

    /** Begins to watch if the body is not read. */
    void update() {
        if (!watching && upload.isUnread()) {
            watching = true;
            check();
        }
    }

    private void check() {
        if (!upload.isUnread() || !connection.isActive()) {
            watching = false;
            return;
        }
        end.observe(new UnreadBodyEnd.Observation(
                clock.nowUs(),
                upload.missingBytes(),
                connection.unreadBytes(),
                upload.readBytes(),
                connection.querySinceReceiveUs(),
                connection.queryReceiveWindow()));
        long writtenUs = end.estimateUs();
        if (writtenUs != UnreadBodyEnd.NOT_WRITTEN && isOverdue(writtenUs)) {
            watching = false;
            upload.fail();
            return;
        }
        connection.eventLoop().schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** When the client wrote the last byte, which has been read now and was sent at {@code sentUs} as far as its reading tells. */
    long writtenUs(long sentUs) {
        return end.writtenUs(sentUs, this::isOverdue);
    }

    private boolean isOverdue(long writtenUs) {
        return clock.nowUs() >= upload.deadlineUs(writtenUs);
    }
}
