package rushproxy.fleet.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges the new servers of one stage against control servers of the same kind, zone and age, by what all sidecars have seen of both
 * meanwhile. Without I/O, time is told; equal batches give equal verdicts. One thread.
 *
 * <p>Three kinds of events are looked at, in each stratum: failures, silence, and answers slower than three quarters of
 * control's were so far. Each has its {@link Evidence}; those of one kind are averaged over the strata, so that what is bad in one
 * zone or for one class alone shows, and the three share the false-halt rate. So a good release is halted falsely with a
 * chance of at most {@link Criteria#falseHaltProbability}, however often it is looked at; the chance counts for each stage.
 */
public final class Gate {
    /** What a gate says of a stage: go on, wait, stop where it is, or take it back. */
    public enum Verdict {
        ON,
        WAIT,
        HALT,
        BACK
    }

    /**
     * @param leastUs    the stage lasts at least this long
     * @param mostUs     and where it can't be told by then, it is halted
     * @param answers    of each group at least so many
     * @param falseHalts chance of halting a good release, at most
     * @param worse      the stage goes on only while the new ones' part of bad answers is at most this above control's
     * @param slower     and their median at most so many times control's
     * @param sickAt     part of bad answers of control from which nothing can be told: a fault hits both
     */
    public record Criteria(
            long minDurationUs,
            long maxDurationUs,
            long minAnswers,
            double falseHaltProbability,
            double maxBadFractionExcess,
            double maxMedianRatio,
            double sickControlFraction) {
        public static final Criteria DEFAULT = new Criteria(30_000_000, 600_000_000, 200, 0.01, 0.02, 1.25, 0.3);
    }

    /** {@code reason} is for people: what speaks against it, or what is missing. */
    public record Decision(Verdict verdict, String reason) {}

    private static final class Stratum {
        private final Evidence failure = new Evidence();
        private final Evidence silence = new Evidence();
        private final Evidence slowness = new Evidence();
        private final Tally candidate = new Tally();
        private final Tally control = new Tally();
        /** Of control before this batch; a batch's own would not be known beforehand. */
        private long slowThresholdUs;
    }

    private static final int EVENT_KINDS = 3;
    /** Answers of control before slowness can be told. */
    private static final int MIN_CONTROL_ANSWERS = 40;
    /** The way back is taken where the evidence is as strong as this many false halts in a row would be rare. */
    private static final double ROLLBACK_FACTOR = 2;

    private final Criteria criteria;
    private final Map<String, Stratum> strata = new TreeMap<>();
    private long startedUs;
    private boolean started;
    /** Control's answers since it was last told whether it is sick. */
    private long recentControlAttempts;

    private long recentControlBad;
    private boolean controlSick;

    public Gate(Criteria criteria) {
        this.criteria = criteria;
    }

    /** What came since the batch before, in one stratum. Servers that still warm up belong to neither. */
    public void addBatch(String stratum, Tally candidate, Tally control) {
        Stratum state = strata.computeIfAbsent(stratum, n -> new Stratum());
        state.failure.add(candidate.failures(), candidate.attempts(), control.failures(), control.attempts());
        state.silence.add(candidate.timeouts(), candidate.attempts(), control.timeouts(), control.attempts());
        if (state.slowThresholdUs > 0) {
            state.slowness.add(
                    candidate.slowerThan(state.slowThresholdUs),
                    candidate.successes(),
                    control.slowerThan(state.slowThresholdUs),
                    control.successes());
        }
        state.candidate.add(candidate);
        state.control.add(control);
        state.slowThresholdUs = state.control.successes() >= MIN_CONTROL_ANSWERS ? state.control.percentileUs(75) : 0;
        recentControlAttempts += control.attempts();
        recentControlBad += control.failures() + control.timeouts();
    }

    /** To be asked after the batches of a time, as often as anybody likes. */
    public Decision decide(long nowUs) {
        if (!started) {
            started = true;
            startedUs = nowUs;
        }
        if (recentControlAttempts >= MIN_CONTROL_ANSWERS) {
            controlSick = recentControlBad > criteria.sickControlFraction * recentControlAttempts;
            recentControlAttempts = 0;
            recentControlBad = 0;
        }
        double haltThreshold = Math.log(EVENT_KINDS / criteria.falseHaltProbability);
        String[] kinds = {"failures", "silence", "slowness"};
        String strongestKind = null;
        double max = Double.NEGATIVE_INFINITY;
        for (int kind = 0; kind < EVENT_KINDS; kind++) {
            double log = meanLogEvidence(kind);
            if (log > max) {
                max = log;
                strongestKind = kinds[kind];
            }
        }
        if (max >= ROLLBACK_FACTOR * haltThreshold) {
            return new Decision(Verdict.BACK, describe(strongestKind, max));
        }
        if (max >= haltThreshold) {
            return new Decision(Verdict.HALT, describe(strongestKind, max));
        }
        if (controlSick) {
            return new Decision(Verdict.WAIT, "control servers fail too: nothing can be told");
        }
        String unmet = unmetCriterion(nowUs);
        if (unmet == null) {
            return new Decision(Verdict.ON, "no worse than control");
        }
        return nowUs - startedUs >= criteria.maxDurationUs
                ? new Decision(Verdict.HALT, "it can't be told in time: " + unmet)
                : new Decision(Verdict.WAIT, unmet);
    }

    private double meanLogEvidence(int kind) {
        double max = 0;
        List<Double> logs = new ArrayList<>();
        for (Stratum s : strata.values()) {
            double log = (kind == 0 ? s.failure : kind == 1 ? s.silence : s.slowness).log();
            logs.add(log);
            max = Math.max(max, log);
        }
        double sum = 0;
        for (double l : logs) {
            sum += Math.exp(l - max);
        }
        return logs.isEmpty() ? 0 : max + Math.log(sum / logs.size());
    }

    private String describe(String kind, double log) {
        Map.Entry<String, Stratum> worst = null;
        for (Map.Entry<String, Stratum> e : strata.entrySet()) {
            worst = worst == null || logEvidence(e.getValue(), kind) > logEvidence(worst.getValue(), kind) ? e : worst;
        }
        Stratum s = worst.getValue();
        return String.format(
                Locale.ROOT,
                "%s, most in %s: %d of %d failed and %d were silent, control %d of %d and %d; medians %.1f and %.1f ms;"
                        + " evidence e^%.1f",
                kind,
                worst.getKey(),
                s.candidate.failures(),
                s.candidate.attempts(),
                s.candidate.timeouts(),
                s.control.failures(),
                s.control.attempts(),
                s.control.timeouts(),
                s.candidate.percentileUs(50) / 1e3,
                s.control.percentileUs(50) / 1e3,
                log);
    }

    private static double logEvidence(Stratum s, String kind) {
        return (kind.equals("failures") ? s.failure : kind.equals("silence") ? s.silence : s.slowness).log();
    }

    /** Null where the stage may go on. */
    private String unmetCriterion(long nowUs) {
        Tally candidate = new Tally();
        Tally control = new Tally();
        strata.values().forEach(s -> {
            candidate.add(s.candidate);
            control.add(s.control);
        });
        if (candidate.attempts() < criteria.minAnswers || control.attempts() < criteria.minAnswers) {
            return String.format(
                    Locale.ROOT,
                    "%d answers of new and %d of control servers, %d of each are wanted",
                    candidate.attempts(),
                    control.attempts(),
                    criteria.minAnswers);
        }
        if (nowUs - startedUs < criteria.minDurationUs) {
            return String.format(
                    Locale.ROOT, "%.0f of %.0f s", (nowUs - startedUs) / 1e6, criteria.minDurationUs / 1e6);
        }
        double candidateBad = (candidate.failures() + candidate.timeouts()) / (double) candidate.attempts();
        double controlBad = (control.failures() + control.timeouts()) / (double) control.attempts();
        if (candidateBad > controlBad + criteria.maxBadFractionExcess) {
            return String.format(
                    Locale.ROOT,
                    "%.1f%% of new answers are bad, %.1f%% of control's",
                    100 * candidateBad,
                    100 * controlBad);
        }
        // In one stratum: over all of them a mix that differs would look like slowness.
        for (Map.Entry<String, Stratum> e : strata.entrySet()) {
            Stratum s = e.getValue();
            if (s.candidate.successes() >= MIN_CONTROL_ANSWERS
                    && s.control.successes() >= MIN_CONTROL_ANSWERS
                    && s.candidate.percentileUs(50) > criteria.maxMedianRatio * s.control.percentileUs(50)) {
                return String.format(
                        Locale.ROOT,
                        "%s: a median of %.1f ms, control's is %.1f ms",
                        e.getKey(),
                        s.candidate.percentileUs(50) / 1e3,
                        s.control.percentileUs(50) / 1e3);
            }
        }
        return null;
    }
}
