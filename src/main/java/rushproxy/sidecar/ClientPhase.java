package rushproxy.sidecar;

import java.util.Locale;

/** What a client connection is doing, as the log reports it. */
enum ClientPhase {
    /** Between requests, or before the first byte of the first one. */
    IDLE,
    /** A part of a request head has arrived. */
    WITHIN_HEAD,
    /** The head of a request and at most a part of its body have arrived, and it has no response yet. */
    WITHIN_BODY,
    /** A request has arrived, and its response is not yet written. */
    SERVED,
    /** The output is shut down, and the client has not closed its side yet. */
    LINGERING;

    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
