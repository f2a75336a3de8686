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
 * it has met. It is told the time in microseconds, which only moves forward; whoever drives it asks {@link #nextUs} when
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
        private double leftMs;
        private long startedUs = -1;

        private Job(Object tag, long arrivedUs, double workMs) {
            this.tag = tag;
            this.arrivedUs = arrivedUs;
            this.workMs = workMs;
            leftMs = workMs;
        }

        /** When it came out of the waiting room; -1 while it is there. */
        public long startedUs() {
            return startedUs;
        }
    }

    private record OfferedWork(long atUs, double workMs) {}

    private final Scenario.Servers spec;
    private final Scenario.Rules rules;
    private final List<Job> working = new ArrayList<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final Map<Long, Long> keys;
    private final ArrayDeque<OfferedWork> sent = new ArrayDeque<>();
    private double sentMs;
    private double slowness = 1;
    private final long startedUs;
    private List<Job> done = new ArrayList<>();
    private long atUs;
    private boolean fallen;
    private boolean hung;

    /** {@code startedUs} may lie so far back that it is warm. */
    public UpstreamModel(Scenario.Servers spec, Scenario.Rules rules, long startedUs) {
        this.spec = spec;
        this.rules = rules;
        this.startedUs = startedUs;
        keys = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > spec.warmKeys();
            }
        };
    }

    /** The part of its full capacity that it has, by its age. */
    public double warmth(long nowUs) {
        long age = nowUs - startedUs;
        if (age >= rules.rampUs()) {
            return 1;
        }
        return rules.coldShare() + (1 - rules.coldShare()) * Math.max(0, age) / rules.rampUs();
    }

    /** Milliseconds of work it can do in a second now, uncrowded. */
    public double capacityMsPerS(long nowUs) {
        return 1_000 * spec.cores() * spec.speed() * warmth(nowUs) / slowness;
    }

    /**
     * Takes work in, or returns null where it is turned away. {@code key} is -1 where there is none. All work that
     * reaches a cold server presses on it, also what it turns away.
     */
    public Job arrive(long nowUs, double workMs, long key, Object tag) {
        advance(nowUs);
        double needed = workMs;
        Long met = key < 0 ? null : keys.put(key, nowUs);
        if (met != null && nowUs - met <= spec.warmUs()) {
            needed *= 1 - spec.warmSaving();
        }
        press(nowUs, needed);
        if (fallen || working.size() >= spec.slots() && waiting.size() >= spec.queue()) {
            return null;
        }
        Job job = new Job(tag, nowUs, needed);
        waiting.add(job);
        admit(nowUs);
        return job;
    }

    /** Work beside the queue, as that of a handshake or a probe: it takes from those in work. */
    public void burden(long nowUs, double workMs) {
        advance(nowUs);
        press(nowUs, workMs);
        for (Job job : working) {
            job.leftMs += workMs / working.size();
        }
    }

    private void press(long nowUs, double workMs) {
        while (!sent.isEmpty() && sent.peekFirst().atUs <= nowUs - rules.fallUs()) {
            sentMs -= sent.pollFirst().workMs;
        }
        sent.addLast(new OfferedWork(nowUs, workMs));
        sentMs += workMs;
        boolean cold = nowUs - startedUs < rules.rampUs();
        double budget = rules.fallMultiple() * capacityMsPerS(nowUs) * rules.fallUs() / 1e6;
        fallen |= cold && sentMs > budget;
    }

    private void admit(long nowUs) {
        while (working.size() < spec.slots() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            job.startedUs = nowUs;
            working.add(job);
        }
    }

    /** Milliseconds of work that each request in work gets done in a millisecond. */
    private double rate(long nowUs) {
        if (working.isEmpty() || hung) {
            return 0;
        }
        int n = working.size();
        double over = Math.max(0, n - spec.cores()) / spec.cores();
        double cores = Math.min(n, spec.cores()) / (1 + spec.crowding() * over);
        return spec.speed() * warmth(nowUs) / slowness * cores / n;
    }

    /** Brings the state up to the time; the result is what got done since the last call, in the order of its ends. */
    public List<Job> done(long nowUs) {
        advance(nowUs);
        List<Job> all = done;
        done = new ArrayList<>();
        return all;
    }

    private void advance(long nowUs) {
        while (atUs < nowUs) {
            double rate = rate(atUs);
            long until = Math.max(atUs + 1, Math.min(nowUs, Math.min(stepUs(), firstEndUs(rate))));
            for (Job job : working) {
                job.leftMs -= rate * (until - atUs) / 1_000;
            }
            atUs = until;
            for (Iterator<Job> i = working.iterator(); i.hasNext(); ) {
                Job job = i.next();
                if (job.leftMs <= 1e-9) {
                    done.add(job);
                    i.remove();
                }
            }
            admit(atUs);
        }
    }

    private long stepUs() {
        return atUs - startedUs < rules.rampUs() ? atUs + RAMP_STEP_US : Long.MAX_VALUE;
    }

    private long firstEndUs(double rate) {
        if (rate <= 0) {
            return Long.MAX_VALUE;
        }
        double least = Double.MAX_VALUE;
        for (Job job : working) {
            least = Math.min(least, job.leftMs);
        }
        return atUs + (long) Math.ceil(Math.max(0, least) / rate * 1_000);
    }

    /** When something may end next; {@code Long.MAX_VALUE} while nothing will. */
    public long nextUs() {
        long end = firstEndUs(rate(atUs));
        return end == Long.MAX_VALUE ? end : Math.max(atUs + 1, Math.min(end, stepUs()));
    }

    /** Was sent more than it can bear while it was cold: it stays down until it is started anew. */
    public boolean fallen() {
        return fallen;
    }

    /** What waits leaves; what is in work goes on without anybody to hear of it. */
    public void leave(Job job) {
        waiting.remove(job);
    }

    public void slow(long nowUs, double factor) {
        advance(nowUs);
        slowness = factor;
    }

    /** Takes work and finishes none. */
    public void hang(long nowUs, boolean on) {
        advance(nowUs);
        hung = on;
    }

    public int working() {
        return working.size();
    }

    public int waiting() {
        return waiting.size();
    }

    public long startedUs() {
        return startedUs;
    }

    public Scenario.Servers spec() {
        return spec;
    }
}
