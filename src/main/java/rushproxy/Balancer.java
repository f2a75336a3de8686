package rushproxy;

import java.util.List;
import java.util.Map;

/**
 * The interface of the decision module: events come in as method calls, decisions go out through {@link
 * Actions}. Times are microseconds of one clock that only moves forward; nothing else tells the module
 * the time.
 */
public interface Balancer {
    /** Whether a request may be sent again: freely, under its key while that is remembered, or never once it may have run. */
    enum Semantics {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which upstreams drop repeats of a keyed request. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** As the list has it. */
    enum UpstreamState {
        GONE,
        READY,
        DRAINING
    }

    /** What a list is: changes, the whole, none (the call failed), or the one of the configuration. */
    enum ListKind {
        DELTA,
        FULL,
        FAILED,
        CACHED
    }

    /** How upstreams tell of their load. */
    enum LoadReporting {
        NONE,
        INLINE,
        ON_PROBE
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(true),
        ERROR(true),
        REJECTED(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false);

        /** False where the outcome proves that the attempt never ran. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /** A class of requests; times in microseconds, the deadline from the client's first try. */
    record RequestClass(
            String name,
            Semantics semantics,
            DedupScope dedupScope,
            long dedupWindowUs,
            long aimUs,
            double aimStretch,
            long deadlineUs,
            double worth,
            double lateWorth,
            boolean stream) {}

    /** Who asks, and what part of the fleet it may use. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /** What the deployment allows. */
    record Limits(
            int maxAttempts,
            boolean secondCopies,
            boolean cancelling,
            boolean probing,
            boolean peers,
            boolean retryAfter,
            long maxRetryAfterUs,
            long connectionIdleUs,
            double cpuUsPerRequest) {}

    /** {@code closeOnDrainWithinUs} is 0 where idle connections to a draining upstream may stay open. */
    record Rules(
            long drainGraceUs,
            double coldShare,
            long rampTimeUs,
            double overloadMultiple,
            long overloadWindowUs,
            long discoveryRetryUs,
            long answerSlackUs,
            long closeOnDrainWithinUs) {}

    /** Points of the result for each unit of use; 0 where it is free. */
    record Prices(double crossZone, double peer, double probe, double connection, double handshake) {}

    /** All that an instance is told of its deployment; {@code sidecarIndex} is its number among {@code sidecarCount}. */
    record Settings(
            int sidecarIndex,
            int sidecarCount,
            String zone,
            List<String> zones,
            List<String> kinds,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            LoadReporting loadReporting,
            boolean discoveryOnRequest,
            boolean worthByWork,
            double overShareWorth,
            Prices prices,
            long tickUs) {}

    /** One line of the list. {@code startedUs} is 0 where it started long ago. */
    record Upstream(
            String id, String zone, String kind, int cell, long startedUs, double weight, UpstreamState state) {}

    /**
     * {@code costHintUs} is 0 where there is none; {@code remainingUs} is the time until the client gives
     * up, from the request's last byte on. {@code bodyIncomplete}: its body is still coming, and an attempt can't be repeated
     * once it has taken of it; {@link #onRequestSent} tells when the upstream has all.
     */
    record Request(
            String id,
            long key,
            boolean clientRetry,
            boolean write,
            double costHintUs,
            long remainingUs,
            String tenant,
            String requestClass,
            boolean bodyIncomplete) {
        /** A request of which all is here. */
        public Request(
                String id,
                long key,
                boolean clientRetry,
                boolean write,
                double costHintUs,
                long remainingUs,
                String tenant,
                String requestClass) {
            this(id, key, clientRetry, write, costHintUs, remainingUs, tenant, requestClass, false);
        }
    }

    /** A load report; a value that the site does not report is negative. */
    record LoadReport(double inFlight, double queued, double utilisation) {}

    /** Whether a sidecar sees most of the fleet, a part that may be cut off, or none but itself. */
    enum QuorumState {
        MAJORITY,
        MINORITY,
        NOBODY
    }

    /** Word of the fleet plane: {@code live} sidecars, itself included, by zone in {@code liveByZone}. From {@code validUntilUs} on it
     * counts as never told. */
    record FleetStatus(int live, List<Integer> liveByZone, QuorumState quorum, long validUntilUs) {}

    /** What a sidecar has seen of an upstream. All but {@code GOOD} speak against it. */
    enum Evidence {
        /** It answers again, or still. */
        GOOD,
        /** It takes connections and says nothing, or takes none. */
        SILENT,
        FAILING,
        /** It fails well before an answer could be ready, and so draws requests to itself. */
        FAILING_FAST,
        /** By a factor slower than its kind. */
        SLOW,
        /** It was started so many seconds ago. */
        COLD,
        /** Connections that were idle for so many milliseconds are dropped. */
        DROPS_IDLE;

        /** No request should go there. */
        public boolean isOutage() {
            return this == SILENT || this == FAILING || this == FAILING_FAST;
        }
    }

    /**
     * Word of the fleet on an upstream. {@code confirmed}: witnesses enough speak against it, and it is to be believed where the own
     * evidence says nothing fresher; else it is accused only, and whoever knows better says so. {@code factor} is as
     * {@link Evidence} has it. {@code reportedHere}: this instance is one of the witnesses. From {@code validUntilUs} on it counts as
     * never told.
     */
    record Verdict(
            String upstream,
            Evidence evidence,
            double factor,
            int witnesses,
            boolean reportedHere,
            boolean confirmed,
            long validUntilUs) {}

    /**
     * The own share of a fleet-wide limit: {@code per} second, or in flight, of all requests, a class or a tenant. From {@code
     * untilUs} on {@code fallbackShare} holds, the limit over the configured number of sidecars.
     */
    record LimitShare(
            String name,
            LimitScope scope,
            String subject,
            boolean inFlight,
            double share,
            double fallbackShare,
            long validUntilUs) {
        boolean appliesTo(Request r) {
            return switch (scope) {
                case ALL -> true;
                case CLASS -> subject.equals(r.requestClass());
                case TENANT -> subject.equals(r.tenant());
            };
        }
    }

    /** What a limit counts. */
    enum LimitScope {
        ALL,
        CLASS,
        TENANT
    }

    /** Parts of their shares that servers get, 0 to 1, by id; all of it where none is named. Until {@code validUntilUs}. */
    record ServerWeights(Map<String, Double> byServer, long validUntilUs) {
        double weightOf(String upstream) {
            return byServer.getOrDefault(upstream, 1.0);
        }
    }

    /** What the module can do. Times as in the events. */
    interface Actions {
        void send(String request, String upstream, long untilUs);

        void refuse(String request, long retryAfterUs);

        void fail(String request);

        void cancel(String request, int attempt);

        void probe(String upstream);

        void subscribe();

        /** A message to the peer of this number. */
        void sendToPeer(int peer, byte[] message);

        /** Closes this instance's idle connections to the upstream. */
        void closeIdleConnections(String upstream);

        void startTimer(String mark, long delayUs);

        void log(String text);

        /** Own evidence on an upstream, for the fleet plane where there is one. */
        default void reportEvidence(String upstream, Evidence kind, double factor) {}
    }

    void onUpstreamList(long now, ListKind kind, List<Upstream> entries);

    /**
     * The operators leave the upstream out from now on, or have it back. What is back was started anew meanwhile, at
     * {@code atUs} at the latest.
     */
    void onCordon(long now, String upstream, boolean out, long atUs);

    void onRequest(long now, Request request);

    /**
     * Whether an attempt may still begin, its connection having taken its time: asked at the moment of sending, since
     * lists change and the windows of repeats close meanwhile. It acts on nothing. Where it says no the outcome is NOT_SENT.
     */
    boolean canStartAttempt(long now, String request, int attempt);

    /** The last byte of a partial request has been written: only now can the upstream begin. */
    void onRequestSent(long now, String request, int attempt);

    /** {@code done}: the request is over, by this outcome or already before it. */
    void onOutcome(
            long now,
            String request,
            int attempt,
            String upstream,
            Outcome outcome,
            long latencyUs,
            boolean done,
            LoadReport report);

    void onStreamStart(long now, String request, int attempt, String upstream, long latencyUs);

    void onProbeResult(long now, String upstream, Outcome outcome, long latencyUs, LoadReport report);

    /** The client has left, or the answer is overdue: the request is over. */
    void onRequestExpired(long now, String request);

    void onPeerMessage(long now, int peer, byte[] message);

    void onTimer(long now, String mark);

    /** Who is here, as the peers have it; never told where no fleet plane runs. */
    void onFleetStatus(long now, FleetStatus fleet);

    /** All that the fleet says of upstreams now; what is not among it is not said any more. */
    void onVerdicts(long now, List<Verdict> verdicts);

    /** All limits that hold now. */
    void onLimitShares(long now, List<LimitShare> shares);

    /** Which servers get only a part of their shares: in a release, or where a zone is left. */
    void onServerWeights(long now, ServerWeights weights);

    /** By limit's name, what was asked of it in the {@code passedUs} since this was called last: a second, or at once. */
    Map<String, Double> collectLimitDemands(long passedUs);

    /** What this instance has learned, for one that starts anew; only instances of the same settings understand it. */
    byte[] exportEstimates();

    /** What others have learned, each from another: taken where own answers say little yet. Returns how many could be read. */
    int importEstimates(long now, List<byte[]> told);
}
