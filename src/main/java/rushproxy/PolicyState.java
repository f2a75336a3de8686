package rushproxy;

import java.util.*;
import rushproxy.Balancer.*;

/**
 * The mutable state of {@link Policy}: plain data about servers, requests, attempts and limits. Times are
 * microseconds of the policy's clock.
 */
final class PolicyState {
    private PolicyState() {}

    /** Estimates shared by the servers of one listed kind. */
    static final class ServerKind {
        /** Service time relative to a standard core. */
        double slowness = 1;

        double cores;
        /** Lowest slowness seen for some time: that of uncongested servers. */
        double bestSlowness = 1;

        /** Answers behind the estimates. */
        int answers;

        long answeredAt;
        /** Last answer by a server that is not an outlier. */
        long tunedAt;

        ServerKind(double cores) {
            this.cores = cores;
        }
    }

    static final class Server {
        final String id;
        final ServerKind kind;
        /** The server's entry in the latest list. */
        Upstream listing;

        boolean ready;
        /** Listed start of the process, or the time it was uncordoned if that is later. */
        long startedAt;

        /** Its share of the fleet's requests; the draw is weighted by it. */
        double share;
        /** This sidecar's requests at the server, and their attempts in the order of sending. */
        int inFlight;

        final ArrayDeque<Attempt> inFlightAttempts = new ArrayDeque<>();
        /** Slowness relative to its kind. */
        double relativeSlowness = 1;

        long answeredAt;
        /** Last success: attempts sent after it have had no answer yet. */
        long succeededAt;

        double reportedLoad;
        long loadReportedAt = Long.MIN_VALUE / 2;
        /** Consecutive failures and consecutive ejections. */
        int failures, ejections;

        long ejectedUntil;
        /** Consecutive rejections, and until when the last one marks the server as full. */
        int rejects;

        long assumedFullUntil;
        /** Last evidence of a failure; last report that the server is slow or cold. */
        long failedAt = Long.MIN_VALUE / 2, evidenceSentAt = Long.MIN_VALUE / 2;
        /** Hash of the id: position in the ring that all sidecars share. */
        final int hash;
        /** Index of the zone in the settings, 0 if it is not listed there. */
        final int zone;
        /** Last send or outcome; 0 if no connection has been used yet. */
        long lastUsedAt;
        /** A failure was attributed to an idle connection, and no success has followed. */
        boolean idleDropSuspected;
        /** When the pending probe was sent; 0 if none is pending. */
        long probeSentAt;
        /** Slot of the last send during slow start, and the work sent in it. */
        long slowStartSlot;

        double slowStartWorkUs;

        double slowness() {
            return kind.slowness * relativeSlowness;
        }

        Server(Upstream listing, ServerKind kind, int zone, int hash) {
            id = listing.id();
            this.kind = kind;
            this.hash = hash;
            this.zone = Math.max(0, zone);
            this.listing = listing;
        }
    }

    /** A request from its arrival to its final answer. */
    static final class ActiveRequest {
        Request request;
        RequestClass requestClass;
        /** Expected service time on an idle standard core. */
        double serviceUs;
        /** When the client first made the request, in this try or an earlier one. */
        long firstRequestedAt;
        /** An answer after this has no more worth than a late one. */
        long usefulUntil;

        long deadlineAt;
        /** Sort key of the queue: arrival plus aim, the aim stretched in proportion to lower worth. */
        long queueOrder;

        boolean queued, finished, streaming;
        /** The servers being probed for this request, when that began, and how many pairs were probed. */
        Server firstCandidate, secondCandidate;

        long probedAt, nextProbeAt;
        int probedPairs;
        final List<Attempt> attempts = new ArrayList<>(1);
        /** The fleet's limits in which it takes a place. */
        List<LimitUsage> limits = List.of();
    }

    /** Usage of this sidecar's share of a fleet-wide limit: a token bucket, or requests in flight. */
    static final class LimitUsage {
        LimitShare share;
        double tokens = 1;
        long tokensRefilledAt;
        int inFlight;
        /** Since the demand was last collected: arrivals, and the peak of requests in flight. */
        int arrivals, peak;
    }

    static final class Attempt {
        ActiveRequest owner;
        Server server;
        /** The server's list entry at the time of the send. */
        Upstream listing;

        long sentAt;
        double loadAtSend, expectedUs;
        /** Expected latency on a server of slowness 1. */
        double expectedStandardUs;
        /** Idle time of the connection at the send; 0 if it was in use or new. */
        long idleUs;

        boolean ended, mayHaveRun = true;
        /** It occupies its server: the server has the whole request and has not answered yet. */
        boolean running;
    }
}
