package rushproxy.sidecar;

import java.util.Locale;

/** Why this program closes a connection, for the debug log. */
enum CloseReason {
    // ---- client connections
    LAST_ANSWER,
    NO_HTTP,
    TOO_LONG_QUIET,
    REQUEST_UNFINISHED,
    BODY_TOO_SLOW,
    ANSWER_UNREAD,
    ANSWER_BROKEN,
    ROOM_NEEDED,
    MEMORY_NEEDED,
    STOPPING,
    DRAINING,
    UNWATCHED,
    LINGERED,
    SENT_TOO_MUCH,
    // ---- upstream connections
    IDLE_TOO_LONG,
    UPSTREAM_LEAVES,
    CALL_ABANDONED,
    CALL_ENDED_BEFORE,
    NOT_ASKED_FOR,
    NOT_KEPT_ALIVE,
    NOT_WANTED,
    STALLED,
    WRITE_FAILED,
    REMAINDER_TOO_LONG,
    // ---- either
    PEER_ENDED,
    FAILED;

    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
