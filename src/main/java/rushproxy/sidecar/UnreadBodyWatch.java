package rushproxy.sidecar;

import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Watches a connection from when the body of its current request is first not read, because its server takes no more, until all of it
 * has been read. The time of a request runs from when its client wrote the last byte, also while that can't be read; when it is over the
 * request fails. What is still unread at the second look is read ahead, which shows the last byte instead of an estimate.
 */
final class UnreadBodyWatch {
    private static final long CHECK_INTERVAL_MS = 20;

    /** The request whose body is watched. */
    interface Upload {
        /** Whether more of its body is awaited, and an upstream may have a part of it. */
        boolean isReceiving();

        /** Whether the body is not read, because its server takes no more. */
        boolean isSuspended();

        /** Reads what there is memory for. */
        void readAhead();

        /** Bytes of the body that have not been decoded; {@link UnreadBodyEnd#UNKNOWN_LENGTH} if its length is not known. */
        long missingBytes();

        /** Bytes of the body that have been decoded. */
        long readBytes();

        /** Bytes that have been read from the socket and not been decoded. */
        int heldBytes();

        /** The deadline if the last byte was written at {@code writtenUs}. */
        long deadlineUs(long writtenUs);

        /** The deadline has passed. */
        void fail();
    }

    private final TcpConnection connection;
    private final Clock clock;
    private final UnaryOperator<Runnable> guarded;
    private final Upload upload;
    private UnreadBodyEnd end = new UnreadBodyEnd(0);
    private boolean watching;
    /** Counts the requests, to tell a look at an earlier one apart. */
    private int requests;

    /** {@code guarded} wraps tasks so that one that fails closes the connection. */
    UnreadBodyWatch(TcpConnection connection, Clock clock, UnaryOperator<Runnable> guarded, Upload upload) {
        this.connection = connection;
        this.guarded = guarded;
        this.clock = clock;
        this.upload = upload;
    }

    /** The next request has begun. */
    void restart(long sentUs) {
        end = new UnreadBodyEnd(sentUs);
        watching = false;
        requests++;
    }

    /** Begins to watch if the body is not read. */
    void update() {
        if (!watching && upload.isReceiving() && upload.isSuspended()) {
            watching = true;
            check();
        }
    }

    private void check() {
        end.observe(new UnreadBodyEnd.Observation(
                clock.nowUs(),
                upload.isSuspended(),
                upload.missingBytes(),
                connection.unreadBytes() + upload.heldBytes(),
                upload.readBytes(),
                connection.querySinceReceiveUs(),
                connection.queryReceiveWindow()));
        int request = requests;
        if (isOverdue()) {
            // In a task of its own: a look may be part of a write or a read of the very body that ends here.
            connection.eventLoop().execute(guarded.apply(() -> failIfOverdue(request)));
        } else {
            Runnable next = guarded.apply(() -> checkAgain(request));
            connection.eventLoop().schedule(next, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void failIfOverdue(int request) {
        if (isWatched(request) && isOverdue()) {
            watching = false;
            upload.fail();
        } else {
            checkAgain(request);
        }
    }

    private void checkAgain(int request) {
        if (isWatched(request) && upload.isSuspended()) {
            // This may bring the end of the body, or of the request.
            upload.readAhead();
        }
        if (isWatched(request)) {
            check();
        } else if (request == requests) {
            watching = false;
        }
    }

    private boolean isWatched(int request) {
        return request == requests && upload.isReceiving() && connection.isActive();
    }

    /** When the client wrote the last byte, which has been read now and was sent at {@code sentUs} as far as its reading tells. */
    long writtenUs(long sentUs) {
        return end.writtenUs(sentUs);
    }

    private boolean isOverdue() {
        long writtenUs = end.estimateUs();
        return writtenUs != UnreadBodyEnd.NOT_WRITTEN && clock.nowUs() >= upload.deadlineUs(writtenUs);
    }
}
