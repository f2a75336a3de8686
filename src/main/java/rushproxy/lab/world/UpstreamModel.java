package rushproxy.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;

/**
 * Model of one upstream server, without I/O: processor sharing among the active requests, a bounded queue, a warm-up ramp after the
 * start, and a cache of recent keys. Callers pass the time in microseconds, which must not go backwards, and call again at
 * {@link #nextEventUs}. Work is measured in milliseconds of a core of speed 1. The model is deterministic.
 */
public final class UpstreamModel {
    /** During warm-up the speed changes continuously; the simulation approximates it in steps of this length. */
    private static final long RAMP_STEP_US = 50_000;
    /** Work that remains only through rounding counts as done. */
    private static final double COMPLETION_TOLERANCE_MS = 1e-9;

    /** One accepted request; {@code tag} is the caller's own reference. */
    public static final class Job {
        public final Object tag;
        public final long arrivedUs;
        public final double workMs;
        private double remainingMs;
        private long startedUs = -1;

        private Job(Object tag, long arrivedUs, double workMs) {
            this.tag = tag;
            this.arrivedUs = arrivedUs;
            this.workMs = workMs;
            remainingMs = workMs;
        }

        /** When it left the queue; -1 while it is queued. */
        public long startedUs() {
            return startedUs;
        }
    }

    private record OfferedWork(long atUs, double workMs) {}

    private final Scenario.ServerGroup spec;
    private final Scenario.Rules rules;
    private final List<Job> active = new ArrayList<>();
    private final ArrayDeque<Job> queued = new ArrayDeque<>();
    private final Map<Long, Long> keysLastSeenUs;
    private final ArrayDeque<OfferedWork> recentWork = new ArrayDeque<>();
    private double recentWorkMs;
    private double slowdownFactor = 1;
    private final long startedUs;
    private List<Job> completed = new ArrayList<>();
    private long stateAtUs;
    private boolean collapsed;
    private boolean hung;

    /** A server whose {@code startedUs} lies at least a ramp time back has finished its warm-up. */
    public UpstreamModel(Scenario.ServerGroup spec, Scenario.Rules rules, long startedUs) {
        this.spec = spec;
        this.rules = rules;
        this.startedUs = startedUs;
        keysLastSeenUs = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > spec.warmKeys();
            }
        };
    }

    /** The fraction of its full speed that the server has reached in its warm-up. */
    public double warmUpFraction(long nowUs) {
        long ageUs = nowUs - startedUs;
        if (ageUs >= rules.rampUs()) {
            return 1;
        }
        return rules.coldShare() + (1 - rules.coldShare()) * Math.max(0, ageUs) / rules.rampUs();
    }

    /** Work that the server can do per second at this time, in milliseconds, without the loss by crowding. */
    public double capacityMsPerS(long nowUs) {
        return 1_000 * spec.cores() * spec.speed() * warmUpFraction(nowUs) / slowdownFactor;
    }

    /**
     * Accepts a request, or returns null if the queue is full or the server has collapsed. {@code key} is -1 for requests without a key.
     * Rejected work counts toward the collapse of a cold server too.
     */
    public Job submit(long nowUs, double workMs, long key, Object tag) {
        advance(nowUs);
        double neededMs = workMs;
        Long lastSeenUs = key < 0 ? null : keysLastSeenUs.put(key, nowUs);
        if (lastSeenUs != null && nowUs - lastSeenUs <= spec.warmUs()) {
            neededMs *= 1 - spec.warmSaving();
        }
        recordOfferedWork(nowUs, neededMs);
        if (collapsed || active.size() >= spec.slots() && queued.size() >= spec.queue()) {
            return null;
        }
        Job job = new Job(tag, nowUs, neededMs);
        queued.add(job);
        startQueued(nowUs);
        return job;
    }

    /** Adds work outside the queue, such as a handshake or a probe, which slows down the active requests. */
    public void addOverhead(long nowUs, double workMs) {
        advance(nowUs);
        recordOfferedWork(nowUs, workMs);
        for (Job job : active) {
            job.remainingMs += workMs / active.size();
        }
    }

    private void recordOfferedWork(long nowUs, double workMs) {
        while (!recentWork.isEmpty() && recentWork.peekFirst().atUs <= nowUs - rules.fallUs()) {
            recentWorkMs -= recentWork.pollFirst().workMs;
        }
        recentWork.addLast(new OfferedWork(nowUs, workMs));
        recentWorkMs += workMs;
        boolean isCold = nowUs - startedUs < rules.rampUs();
        double budgetMs = rules.fallMultiple() * capacityMsPerS(nowUs) * rules.fallUs() / 1e6;
        collapsed |= isCold && recentWorkMs > budgetMs;
    }

    private void startQueued(long nowUs) {
        while (active.size() < spec.slots() && !queued.isEmpty()) {
            Job job = queued.poll();
            job.startedUs = nowUs;
            active.add(job);
        }
    }

    /** Milliseconds of work that each active request completes per millisecond. */
    private double workRatePerRequest(long nowUs) {
        if (active.isEmpty() || hung) {
            return 0;
        }
        int n = active.size();
        double excess = Math.max(0, n - spec.cores()) / spec.cores();
        double cores = Math.min(n, spec.cores()) / (1 + spec.crowding() * excess);
        return spec.speed() * warmUpFraction(nowUs) / slowdownFactor * cores / n;
    }

    /** Advances to the given time and returns the requests completed since the last call, in order of completion. */
    public List<Job> takeCompleted(long nowUs) {
        advance(nowUs);
        List<Job> result = completed;
        completed = new ArrayList<>();
        return result;
    }

    private void advance(long nowUs) {
        while (stateAtUs < nowUs) {
            double rate = workRatePerRequest(stateAtUs);
            long untilUs =
                    Math.max(stateAtUs + 1, Math.min(nowUs, Math.min(nextRampStepUs(), earliestCompletionUs(rate))));
            for (Job job : active) {
                job.remainingMs -= rate * (untilUs - stateAtUs) / 1_000;
            }
            stateAtUs = untilUs;
            for (Iterator<Job> i = active.iterator(); i.hasNext(); ) {
                Job job = i.next();
                if (job.remainingMs <= COMPLETION_TOLERANCE_MS) {
                    completed.add(job);
                    i.remove();
                }
            }
            startQueued(stateAtUs);
        }
    }

    private long nextRampStepUs() {
        return stateAtUs - startedUs < rules.rampUs() ? stateAtUs + RAMP_STEP_US : Long.MAX_VALUE;
    }

    private long earliestCompletionUs(double rate) {
        if (rate <= 0) {
            return Long.MAX_VALUE;
        }
        double minRemainingMs = Double.MAX_VALUE;
        for (Job job : active) {
            minRemainingMs = Math.min(minRemainingMs, job.remainingMs);
        }
        return stateAtUs + (long) Math.ceil(Math.max(0, minRemainingMs) / rate * 1_000);
    }

    /** When the next request may complete or the speed changes; {@code Long.MAX_VALUE} if no request can complete. */
    public long nextEventUs() {
        long end = earliestCompletionUs(workRatePerRequest(stateAtUs));
        return end == Long.MAX_VALUE ? end : Math.max(stateAtUs + 1, Math.min(end, nextRampStepUs()));
    }

    /** Whether the server was sent more work than it can bear while cold; it stays down until it is restarted. */
    public boolean hasCollapsed() {
        return collapsed;
    }

    /** Removes a queued request whose sender is gone; an active one runs to its end. */
    public void removeQueued(Job job) {
        queued.remove(job);
    }

    public void setSlowdownFactor(long nowUs, double factor) {
        advance(nowUs);
        slowdownFactor = factor;
    }

    /** While hung, the server accepts requests and completes none. */
    public void setHung(long nowUs, boolean on) {
        advance(nowUs);
        hung = on;
    }

    public int activeCount() {
        return active.size();
    }

    public int queuedCount() {
        return queued.size();
    }

    public long startedUs() {
        return startedUs;
    }

    public Scenario.ServerGroup spec() {
        return spec;
    }
}
