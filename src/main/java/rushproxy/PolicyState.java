package rushproxy;

import java.util.*;
import rushproxy.Balancer.*;

/** What {@link Policy} remembers of servers, requests and attempts: plain data. */
final class PolicyState {
    private PolicyState() {}

    /** What servers of one listed kind have in common. */
    static final class ServerKind {
        /** Time on such a server of work that takes one unit of time on a standard core. */
        double slowness = 1;

        double cores;
        /** The least slowness seen for long: that of uncrowded servers. */
        double bestSlowness = 1;

        int answers;
        long answeredAt;
        /** Last answer by a server that is no group of its own. */
        long updatedAt;

        ServerKind(double cores) {
            this.cores = cores;
        }
    }

    static final class Server {
        final String id;
        final ServerKind kind;
        Upstream listing;
        boolean ready;
        /** Start of the process as listed, or the operators' call back where that is later. */
        long startedAt;

        double share;
        /** Own requests in flight, and their attempts in the order of their sends. */
        int inFlight;

        final ArrayDeque<Attempt> inFlightAttempts = new ArrayDeque<>();
        /** How much slower than its kind. */
        double relativeSlowness = 1;

        long answeredAt;
        /** Its last answer with success; what was sent after it has met silence so far. */
        long succeededAt;

        double reportedLoad;
        long loadReportedAt = Long.MIN_VALUE / 2;
        int failures, ejections;
        long ejectedUntil;
        /** Requests turned away in a row, and until when it is taken to be full after the last of them. */
        int rejections;

        long assumedFullUntil;
        /** Own evidence against it of late, and when it was last told on that it is slow or cold. */
        long failedAt = Long.MIN_VALUE / 2, evidenceSentAt = Long.MIN_VALUE / 2;
        /** Place in the order of the servers that all sidecars share. */
        final int hash;
        /** Its zone's number in the settings, 0 where they do not name it. */
        final int zone;
        /** Last send or outcome; 0: no connection was used yet. */
        long lastUsedAt;
        /** A failure was laid to a connection long idle, and it has not answered since. */
        boolean idleDropSuspected;
        /** Time of a probe without an answer yet. */
        long probeSentAt;
        /** Own work sent in the last slot of the cold server's budget. */
        long slowStartSlot;

        double slowStartWorkUs;

        double slowness() {
            return kind.slowness * relativeSlowness;
        }

        Server(Upstream entry, ServerKind kind, int zone, int order) {
            id = entry.id();
            this.kind = kind;
            this.hash = order;
            this.zone = Math.max(0, zone);
            this.listing = entry;
        }
    }

    /** A request from its acceptance to its final answer. */
    static final class ActiveRequest {
        Request request;
        RequestClass requestClass;
        double serviceUs;
        /** When its client asked for it first, in this try or an earlier one. */
        long firstRequestedAt;
        /** An answer after this is worth nothing more than a late one. */
        long usefulUntil;

        long deadlineAt;
        /** Waiting requests go by this: the aim, as many times longer as the work is worth less. */
        long queueOrder;

        boolean queued, finished, streaming;
        /** The pair asked for its load, when, and how many pairs were. */
        Server firstCandidate, secondCandidate;

        long probedAt, nextProbeAt;
        int probedPairs;
        final List<Attempt> attempts = new ArrayList<>(1);
        /** The fleet's limits that count it. */
        List<LimitUsage> limits = List.of();
    }

    /** The own share of one limit of the fleet: tokens that a quarter of a second fills, or places. */
    static final class LimitUsage {
        LimitShare share;
        double tokens = 1;
        long tokensRefilledAt;
        int inFlight;
        /** Since the demand was last looked at: all that came, and of those in flight's the most at once. */
        int arrivals, peak;
    }

    static final class Attempt {
        ActiveRequest owner;
        Server server;
        /** The server's line of the list at the send. */
        Upstream listing;

        long sentAt;
        double loadAtSend, expectedUs;
        /** What was expected of a server of slowness 1. */
        double expectedStandardUs;
        /** How long the connection had been idle at the send; 0 where it was in use or new. */
        long idleUs;

        boolean ended, mayHaveRun = true;
        /** It occupies its server: from when that has the whole request until its answer comes. */
        boolean running;
    }
}
