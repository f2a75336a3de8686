package rushproxy.sidecar;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;
import java.util.Set;

/**
 * Classifies socket errors into those that mean the connection is lost and transient local ones. The JDK reports most system errors
 * only by the system's message, so lost connections are recognised by message. Unknown errors count as transient, which at worst costs
 * a few useless retries.
 */
final class SocketErrors {
    /** The messages of Linux for ECONNRESET (which the JDK shortens), EPIPE, ETIMEDOUT, EHOSTUNREACH and ENOTCONN. */
    private static final Set<String> CONNECTION_LOST_MESSAGES = Set.of(
            "Connection reset",
            "Connection reset by peer",
            "Broken pipe",
            "Connection timed out",
            "No route to host",
            "Transport endpoint is not connected");

    private SocketErrors() {}

    /** Whether connecting failed because of the peer or the network, and not of this machine. */
    static boolean isRemoteConnectFailure(Throwable error) {
        return error instanceof ConnectException
                || error instanceof NoRouteToHostException
                || error instanceof ClosedChannelException
                || isConnectionLost(error);
    }

    /** Whether the call failed because the connection no longer exists. */
    static boolean isConnectionLost(Throwable error) {
        if (error instanceof ClosedChannelException) {
            return true;
        }
        if (!(error instanceof IOException)) {
            return false;
        }
        // For a failed connect Netty appends the address to the message and keeps the system's error as the cause.
        return error.getMessage() != null && CONNECTION_LOST_MESSAGES.contains(error.getMessage())
                || isConnectionLost(error.getCause());
    }
}
