package rushproxy.fleet.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares the new servers of one stage with control servers of the same kind, zone and age, by the concurrent observations of all
 * sidecars. Performs no I/O; the time is passed in. Deterministic: equal batches give equal verdicts. Not thread-safe.
 *
 * <p>Three kinds of events are tested in each stratum: failures, timeouts, and answers slower than the 75th percentile of control
 * so far. Each has its {@link Evidence}. The evidence of one kind is averaged over the strata, so that a regression in a single zone
 * or class is found, and the three kinds share the false-halt probability. A good release is therefore halted with a probability of
 * at most {@link Criteria#falseHaltProbability} per stage, however often it is evaluated.
 */
public final class Gate {
    /** Whether a stage proceeds, waits, is halted, or is rolled back. */
    public enum Verdict {
        ON,
        WAIT,
        HALT,
        BACK
    }

    /**
     * Criteria of a stage.
     *
     * @param minDurationUs        minimum duration of the stage
     * @param maxDurationUs        a stage that is inconclusive after this time is halted
     * @param minAnswers           minimum attempts per group
     * @param falseHaltProbability maximum probability of halting a good release
     * @param maxBadFractionExcess maximum excess of the candidate's fraction of failures and timeouts over that of control
     * @param maxMedianRatio       maximum ratio of the candidate's median latency to that of control
     * @param sickControlFraction  fraction of bad answers of control above which a stage is inconclusive, as a fault affects both groups
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

    /** {@code reason} tells operators the evidence against the release or the unmet criterion. */
    public record Decision(Verdict verdict, String reason) {}

    private static final class Stratum {
        private final Evidence failure = new Evidence();
        private final Evidence silence = new Evidence();
        private final Evidence slowness = new Evidence();
        private final Tally candidate = new Tally();
        private final Tally control = new Tally();
        /** From control before the current batch, as the e-process requires a threshold that is fixed beforehand. */
        private long slowThresholdUs;
    }

    private static final int EVENT_KINDS = 3;
    /** Answers needed to judge latency, or whether control is sick. */
    private static final int MIN_CONTROL_ANSWERS = 40;
    /** A release is rolled back if the evidence is as unlikely as this many consecutive false halts. */
    private static final double ROLLBACK_FACTOR = 2;

    private final Criteria criteria;
    private final Map<String, Stratum> strata = new TreeMap<>();
    private long startedUs;
    private boolean started;
    /** Attempts on control since {@link #controlSick} was last evaluated. */
    private long recentControlAttempts;

    private long recentControlBad;
    private boolean controlSick;

    public Gate(Criteria criteria) {
        this.criteria = criteria;
    }

    /** Adds the tallies of one stratum since the previous batch. Servers that are warming up belong to neither group. */
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

    /** Evaluates the stage after the batches of an interval; may be called any number of times. */
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
            return new Decision(Verdict.WAIT, "control servers fail too: inconclusive");
        }
        String unmet = unmetCriterion(nowUs);
        if (unmet == null) {
            return new Decision(Verdict.ON, "no worse than control");
        }
        return nowUs - startedUs >= criteria.maxDurationUs
                ? new Decision(Verdict.HALT, "inconclusive at the end of the stage: " + unmet)
                : new Decision(Verdict.WAIT, unmet);
    }

    private double meanLogEvidence(int kind) {
        double max = 0;
        List<Double> logs = new ArrayList<>();
        for (Stratum stratum : strata.values()) {
            double log = (kind == 0 ? stratum.failure : kind == 1 ? stratum.silence : stratum.slowness).log();
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
        Stratum stratum = worst.getValue();
        return String.format(
                Locale.ROOT,
                "%s, strongest in %s: %d of %d failed and %d timed out, control %d of %d and %d; medians %.1f and %.1f ms;"
                        + " evidence e^%.1f",
                kind,
                worst.getKey(),
                stratum.candidate.failures(),
                stratum.candidate.attempts(),
                stratum.candidate.timeouts(),
                stratum.control.failures(),
                stratum.control.attempts(),
                stratum.control.timeouts(),
                stratum.candidate.percentileUs(50) / 1e3,
                stratum.control.percentileUs(50) / 1e3,
                log);
    }

    private static double logEvidence(Stratum stratum, String kind) {
        return (kind.equals("failures") ? stratum.failure : kind.equals("silence") ? stratum.silence : stratum.slowness)
                .log();
    }

    /** Describes the first criterion that is not met; null if the stage may proceed. */
    private String unmetCriterion(long nowUs) {
        Tally candidate = new Tally();
        Tally control = new Tally();
        strata.values().forEach(stratum -> {
            candidate.add(stratum.candidate);
            control.add(stratum.control);
        });
        if (candidate.attempts() < criteria.minAnswers || control.attempts() < criteria.minAnswers) {
            return String.format(
                    Locale.ROOT,
                    "%d answers of new and %d of control servers, %d of each are needed",
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
                    "%.1f%% of the answers of new servers are bad, %.1f%% of control",
                    100 * candidateBad,
                    100 * controlBad);
        }
        // Per stratum: over all strata, a different mix of requests would look like slowness.
        for (Map.Entry<String, Stratum> e : strata.entrySet()) {
            Stratum stratum = e.getValue();
            if (stratum.candidate.successes() >= MIN_CONTROL_ANSWERS
                    && stratum.control.successes() >= MIN_CONTROL_ANSWERS
                    && stratum.candidate.percentileUs(50)
                            > criteria.maxMedianRatio * stratum.control.percentileUs(50)) {
                return String.format(
                        Locale.ROOT,
                        "%s: median of %.1f ms, %.1f ms for control",
                        e.getKey(),
                        stratum.candidate.percentileUs(50) / 1e3,
                        stratum.control.percentileUs(50) / 1e3);
            }
        }
        return null;
    }
}
