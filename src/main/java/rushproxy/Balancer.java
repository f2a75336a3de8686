package rushproxy;

import java.util.List;
import java.util.Map;

/**
 * The interface of the load-balancing policy: the host calls its methods on events, and the policy acts through {@link Actions}.
 * All times are microseconds on one monotonic clock, which the host passes in as {@code now}.
 */
public interface Balancer {
    /**
     * Whether a request may be sent again once it may have run: always, while servers deduplicate it by its key, or never.
     */
    enum Semantics {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which upstreams recognise a repeat of a keyed request: all, those of one zone, or those of one cell. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** State of an upstream in the list. */
    enum UpstreamState {
        GONE,
        READY,
        DRAINING
    }

    /** Kind of a list: changes only, complete, none since discovery failed, or the one from the configuration. */
    enum ListKind {
        DELTA,
        FULL,
        FAILED,
        CACHED
    }

    /** How upstreams report their load: not at all, with each answer, or when they are probed. */
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

        /** False if the outcome proves that the server did not process the attempt. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /**
     * A class of requests. {@code aimUs + aimStretch * work} is the latency objective; {@code deadlineUs} counts from the client's
     * first try. An answer within the objective counts {@code worth}, a later one {@code lateWorth}.
     */
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

    /** A tenant, its share of the fleet and its quota. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /**
     * What the deployment allows. {@code secondCopies} permits concurrent attempts of one request, {@code peers} messages between
     * sidecars. Idle connections are closed after {@code connectionIdleUs}.
     */
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

    /**
     * Rules for draining and starting upstreams and for discovery. A starting upstream has {@code coldShare} of its capacity, which
     * rises to all of it within {@code rampTimeUs}; it fails if it is sent more than {@code overloadMultiple} times its capacity
     * within {@code overloadWindowUs}. {@code discoveryRetryUs} bounds the interval between failing calls to discovery. {@code
     * closeOnDrainWithinUs} is 0 if idle connections to a draining upstream may stay open.
     */
    record Rules(
            long drainGraceUs,
            double coldShare,
            long rampTimeUs,
            double overloadMultiple,
            long overloadWindowUs,
            long discoveryRetryUs,
            long answerSlackUs,
            long closeOnDrainWithinUs) {}

    /** Prices in points of the score per unit of use; 0 for what is free. */
    record Prices(double crossZone, double peer, double probe, double connection, double handshake) {}

    /**
     * The settings of one sidecar, which has index {@code sidecarIndex} of {@code sidecarCount}. With {@code discoveryOnRequest} it
     * subscribes to the list itself, else the list is pushed. With {@code worthByWork} the worth of a request is per unit of its work.
     */
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

    /** An entry of the list. {@code startedUs} is 0 for an upstream that started long ago. */
    record Upstream(
            String id, String zone, String kind, int cell, long startedUs, double weight, UpstreamState state) {}

    /**
     * A client's request. {@code key} is negative and {@code costHintUs} 0 if there is none. {@code clientRetry}: the client has sent
     * the request before. {@code remainingUs} is the time until the client gives up, counted from the request's last byte.
     * {@code bodyIncomplete}: the body is still arriving, and an attempt that has consumed some of it can't be repeated; {@link
     * #onRequestSent} reports when the upstream has all of it.
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
        /** A request that has arrived completely. */
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

    /** A load report; values that the deployment does not report are negative. */
    record LoadReport(double inFlight, double queued, double utilisation) {}

    /** Whether a sidecar sees a majority of the fleet, a minority that may be partitioned off, or only itself. */
    enum QuorumState {
        MAJORITY,
        MINORITY,
        NOBODY
    }

    /**
     * The fleet's membership as the fleet plane sees it: {@code live} sidecars, this one included, and their number by zone. Ignored
     * from {@code validUntilUs} on.
     */
    record FleetStatus(int live, List<Integer> liveByZone, QuorumState quorum, long validUntilUs) {}

    /** What a sidecar has observed of an upstream. */
    enum Evidence {
        /** Answers requests. */
        GOOD,
        /** Accepts connections without answering, or accepts none. */
        SILENT,
        FAILING,
        /** Fails much faster than it could answer, and so attracts further requests. */
        FAILING_FAST,
        /** Slower than its kind by a factor. */
        SLOW,
        /** Started a number of seconds ago. */
        COLD,
        /** Drops connections that were idle for a number of milliseconds. */
        DROPS_IDLE;

        /** Whether requests should avoid the upstream. */
        public boolean isOutage() {
            return this == SILENT || this == FAILING || this == FAILING_FAST;
        }
    }

    /**
     * The fleet's verdict on an upstream. {@code confirmed}: enough witnesses agree, and the verdict applies where own evidence is not
     * more recent; otherwise it is only an accusation, which sidecars with better evidence contradict. {@code factor} is the number
     * that {@link Evidence} describes. {@code reportedHere}: this sidecar is one of the witnesses. Ignored from {@code validUntilUs} on.
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
     * This sidecar's share of a fleet-wide limit on all requests, a class or a tenant, per second or in flight. From {@code
     * validUntilUs} on {@code fallbackShare} applies: the limit divided by the configured number of sidecars.
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

    /** Which requests a limit counts. */
    enum LimitScope {
        ALL,
        CLASS,
        TENANT
    }

    /** Factors from 0 to 1 on the shares of servers, by id; 1 for servers not listed. Ignored from {@code validUntilUs} on. */
    record ServerWeights(Map<String, Double> byServer, long validUntilUs) {
        double weightOf(String upstream) {
            return byServer.getOrDefault(upstream, 1.0);
        }
    }

    /** The actions of the policy, implemented by its host. */
    interface Actions {
        void send(String request, String upstream, long untilUs);

        void refuse(String request, long retryAfterUs);

        void fail(String request);

        void cancel(String request, int attempt);

        void probe(String upstream);

        void subscribe();

        /** Sends a message to the sidecar with this index. */
        void sendToPeer(int peer, byte[] message);

        /** Closes this sidecar's idle connections to the upstream. */
        void closeIdleConnections(String upstream);

        void startTimer(String mark, long delayUs);

        void log(String text);

        /** Reports own evidence on an upstream to the fleet plane, if there is one. */
        default void reportEvidence(String upstream, Evidence evidence, double factor) {}
    }

    void onUpstreamList(long now, ListKind kind, List<Upstream> entries);

    /**
     * Operators cordon or uncordon the upstream. One that is uncordoned has been restarted in the meantime, at {@code atUs} at the
     * latest.
     */
    void onCordon(long now, String upstream, boolean cordon, long atUs);

    void onRequest(long now, Request request);

    /**
     * Whether an attempt may still be written to its connection: the host checks again after connection setup, during which the list
     * may change and deduplication windows end. No action follows; if false, the host reports the outcome NOT_SENT.
     */
    boolean canStartAttempt(long now, String request, int attempt);

    /** The last byte of a request with an incomplete body has been written: the upstream can start now. */
    void onRequestSent(long now, String request, int attempt);

    /** {@code done}: the request has ended, with this outcome or before. */
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

    /** The client has disconnected or its deadline has passed: the request has ended. */
    void onRequestExpired(long now, String request);

    void onPeerMessage(long now, int peer, byte[] message);

    void onTimer(long now, String mark);

    /** The fleet's membership; never called without a fleet plane. */
    void onFleetStatus(long now, FleetStatus fleet);

    /** All current verdicts; earlier ones that are missing no longer apply. */
    void onVerdicts(long now, List<Verdict> verdicts);

    /** All current limits. */
    void onLimitShares(long now, List<LimitShare> shares);

    /** Servers that get only a part of their share, during a release or the evacuation of a zone. */
    void onServerWeights(long now, ServerWeights weights);

    /** Demand by limit name since the last call, {@code elapsedUs} ago: requests per second, or the peak in flight. */
    Map<String, Double> collectLimitDemands(long elapsedUs);

    /** Exports the estimates for a sidecar that starts; it must have the same zones, kinds and classes. */
    byte[] exportEstimates();

    /** Imports the exports of other sidecars where own estimates rest on few answers. Returns how many could be decoded. */
    int importEstimates(long now, List<byte[]> exports);
}
