package rushproxy.sidecar;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;
import java.util.Set;

/**
 * Tells what a failed socket call says of its connection: that the peer has ended it, or nothing. The runtime hands on most of the
 * system's errors as the system's words for them alone, so those that end a connection are known by these words. What is not known
 * is taken to be this machine's own and for a moment, which costs a few more attempts of the call where it is not.
 */
final class SocketErrors {
    /** What Linux says for ECONNRESET (the runtime says it shorter), EPIPE, ETIMEDOUT, EHOSTUNREACH and ENOTCONN. */
    private static final Set<String> CONNECTION_LOST_MESSAGES = Set.of(
            "Connection reset",
            "Connection reset by peer",
            "Broken pipe",
            "Connection timed out",
            "No route to host",
            "Transport endpoint is not connected");

    private SocketErrors() {}

    /** Whether a connection could not be opened by the peer's doing or the network's, and not this machine's. */
    static boolean isRemoteConnectFailure(Throwable failedDial) {
        return failedDial instanceof ConnectException
                || failedDial instanceof NoRouteToHostException
                || failedDial instanceof ClosedChannelException
                || isConnectionLost(failedDial);
    }

    /** Whether the call has failed since there is no connection any more, by the peer's doing or the network's. */
    static boolean isConnectionLost(Throwable error) {
        if (error instanceof ClosedChannelException) {
            return true;
        }
        if (!(error instanceof IOException)) {
            return false;
        }
        // Netty adds the address to the words of a failed dial, and has the system's error as its cause.
        return error.getMessage() != null && CONNECTION_LOST_MESSAGES.contains(error.getMessage())
                || isConnectionLost(error.getCause());
    }
}
