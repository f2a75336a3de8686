package rushproxy.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;

/**
 * One upstream as a machine, without I/O: cores that requests in work share, a waiting room, the ramp after a start, keys
 * it has met. It is told the time in microseconds, which only moves forward; whoever drives it asks {@link #nextEventUs} when
 * to come again. Work is counted in milliseconds of a core of speed 1. Equal calls give equal results.
 */
public final class UpstreamModel {
    /** While it warms up its speed changes all the time: it is looked at again after this. */
    private static final long RAMP_STEP_US = 50_000;

    /** A piece of work: {@code tag} is its owner's. */
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

        /** When it came out of the waiting room; -1 while it is there. */
        public long startedUs() {
            return startedUs;
        }
    }

    private record OfferedWork(long atUs, double workMs) {}

    private final Scenario.Servers spec;
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

    /** {@code startedUs} may lie so far back that it is warm. */
    public UpstreamModel(Scenario.Servers spec, Scenario.Rules rules, long startedUs) {
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

    /** The part of its full capacity that it has, by its age. */
    public double warmUpFraction(long nowUs) {
        long age = nowUs - startedUs;
        if (age >= rules.rampUs()) {
            return 1;
        }
        return rules.coldShare() + (1 - rules.coldShare()) * Math.max(0, age) / rules.rampUs();
    }

    /** Milliseconds of work it can do in a second now, uncrowded. */
    public double capacityMsPerS(long nowUs) {
        return 1_000 * spec.cores() * spec.speed() * warmUpFraction(nowUs) / slowdownFactor;
    }

    /**
     * Takes work in, or returns null where it is turned away. {@code key} is -1 where there is none. All work that
     * reaches a cold server presses on it, also what it turns away.
     */
    public Job submit(long nowUs, double workMs, long key, Object tag) {
        advance(nowUs);
        double needed = workMs;
        Long met = key < 0 ? null : keysLastSeenUs.put(key, nowUs);
        if (met != null && nowUs - met <= spec.warmUs()) {
            needed *= 1 - spec.warmSaving();
        }
        recordOfferedWork(nowUs, needed);
        if (collapsed || active.size() >= spec.slots() && queued.size() >= spec.queue()) {
            return null;
        }
        Job job = new Job(tag, nowUs, needed);
        queued.add(job);
        startQueued(nowUs);
        return job;
    }

    /** Work beside the queue, as that of a handshake or a probe: it takes from those in work. */
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
        boolean cold = nowUs - startedUs < rules.rampUs();
        double budget = rules.fallMultiple() * capacityMsPerS(nowUs) * rules.fallUs() / 1e6;
        collapsed |= cold && recentWorkMs > budget;
    }

    private void startQueued(long nowUs) {
        while (active.size() < spec.slots() && !queued.isEmpty()) {
            Job job = queued.poll();
            job.startedUs = nowUs;
            active.add(job);
        }
    }

    /** Milliseconds of work that each request in work gets done in a millisecond. */
    private double workRatePerRequest(long nowUs) {
        if (active.isEmpty() || hung) {
            return 0;
        }
        int n = active.size();
        double over = Math.max(0, n - spec.cores()) / spec.cores();
        double cores = Math.min(n, spec.cores()) / (1 + spec.crowding() * over);
        return spec.speed() * warmUpFraction(nowUs) / slowdownFactor * cores / n;
    }

    /** Brings the state up to the time; the result is what got done since the last call, in the order of its ends. */
    public List<Job> takeCompleted(long nowUs) {
        advance(nowUs);
        List<Job> all = completed;
        completed = new ArrayList<>();
        return all;
    }

    private void advance(long nowUs) {
        while (stateAtUs < nowUs) {
            double rate = workRatePerRequest(stateAtUs);
            long until =
                    Math.max(stateAtUs + 1, Math.min(nowUs, Math.min(nextRampStepUs(), earliestCompletionUs(rate))));
            for (Job job : active) {
                job.remainingMs -= rate * (until - stateAtUs) / 1_000;
            }
            stateAtUs = until;
            for (Iterator<Job> i = active.iterator(); i.hasNext(); ) {
                Job job = i.next();
                if (job.remainingMs <= 1e-9) {
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
        double least = Double.MAX_VALUE;
        for (Job job : active) {
            least = Math.min(least, job.remainingMs);
        }
        return stateAtUs + (long) Math.ceil(Math.max(0, least) / rate * 1_000);
    }

    /** When something may end next; {@code Long.MAX_VALUE} while nothing will. */
    public long nextEventUs() {
        long end = earliestCompletionUs(workRatePerRequest(stateAtUs));
        return end == Long.MAX_VALUE ? end : Math.max(stateAtUs + 1, Math.min(end, nextRampStepUs()));
    }

    /** Was sent more than it can bear while it was cold: it stays down until it is started anew. */
    public boolean hasCollapsed() {
        return collapsed;
    }

    /** What waits leaves; what is in work goes on without anybody to hear of it. */
    public void removeQueued(Job job) {
        queued.remove(job);
    }

    public void setSlowdownFactor(long nowUs, double factor) {
        advance(nowUs);
        slowdownFactor = factor;
    }

    /** Takes work and finishes none. */
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

    public Scenario.Servers spec() {
        return spec;
    }
}
