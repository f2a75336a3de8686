package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Errors that mean a lost connection are distinguished from transient local errors. */
class SocketErrorsTest {
    @ParameterizedTest
    @ValueSource(strings = {"Connection reset by peer", "Broken pipe", "Connection timed out", "No route to host"})
    void systemMessagesOfLostConnectionsAreFinal(String message) {
        assertTrue(SocketErrors.isConnectionLost(new IOException(message)));
        assertFalse(new TransientFailureTracker(() -> 0).shouldRetry(new IOException(message)));
    }

    @Test
    void jdkErrorsOfLostConnectionsAreFinal() {
        assertTrue(SocketErrors.isConnectionLost(new SocketException("Connection reset")));
        assertTrue(SocketErrors.isConnectionLost(new ClosedChannelException()));
    }

    /** Netty appends the address to the message of a connect error and keeps the original as the cause. */
    @Test
    void addressesInConnectErrorsAreIgnored() {
        IOException reset = new SocketException("Connection reset by peer: /127.0.0.1:80");
        reset.initCause(new SocketException("Connection reset by peer"));
        assertTrue(SocketErrors.isRemoteConnectFailure(reset));
        IOException local = new SocketException("Network is unreachable: /127.0.0.1:80");
        local.initCause(new SocketException("Network is unreachable"));
        assertFalse(SocketErrors.isRemoteConnectFailure(local));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Cannot allocate memory",
                "No buffer space available",
                "No space left on device",
                "Interrupted system call",
                "Too many open files",
                "Input/output error",
                "an error of another system"
            })
    void allOtherErrorsAreTransient(String message) {
        assertFalse(SocketErrors.isConnectionLost(new IOException(message)));
        assertTrue(new TransientFailureTracker(() -> 0).shouldRetry(new IOException(message)));
    }

    @Test
    void missingMessagesAndOtherExceptionsAreNotLostConnections() {
        assertFalse(SocketErrors.isConnectionLost(null));
        assertFalse(SocketErrors.isConnectionLost(new IOException()));
        assertFalse(SocketErrors.isConnectionLost(new IllegalStateException("Broken pipe")));
    }

    @Test
    void remoteAndLocalConnectFailuresAreDistinguished() {
        assertTrue(SocketErrors.isRemoteConnectFailure(new ConnectException("Connection refused")));
        assertTrue(SocketErrors.isRemoteConnectFailure(new NoRouteToHostException("No route to host")));
        assertFalse(SocketErrors.isRemoteConnectFailure(new BindException("Cannot assign requested address")));
        assertFalse(SocketErrors.isRemoteConnectFailure(new SocketException("Network is unreachable")));
        assertFalse(SocketErrors.isRemoteConnectFailure(new SocketException("No buffer space available")));
    }

    @Test
    void persistentFailuresAreNotRetriedForever() {
        long[] now = {0};
        TransientFailureTracker spell = new TransientFailureTracker(() -> now[0]);
        IOException error = new IOException("Cannot allocate memory");
        assertEquals(0, spell.failingForMs());
        assertTrue(spell.shouldRetry(error));
        now[0] = TimeUnit.SECONDS.toNanos(19);
        assertTrue(spell.shouldRetry(error));
        assertEquals(19_000, spell.failingForMs());
        spell.succeeded();
        assertEquals(0, spell.failingForMs());
        now[0] = TimeUnit.SECONDS.toNanos(30);
        assertTrue(spell.shouldRetry(error), "failures after a success start anew");
        now[0] = TimeUnit.SECONDS.toNanos(51);
        assertFalse(spell.shouldRetry(error));
    }
}
