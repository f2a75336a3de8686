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
        private final Tally fresh = new Tally();
        private final Tally control = new Tally();
        /** Of control before this batch; a batch's own would not be known beforehand. */
        private long slowUs;
    }

    private static final int KINDS = 3;
    /** Answers of control before slowness can be told. */
    private static final int KNOWN = 40;
    /** The way back is taken where the evidence is as strong as this many false halts in a row would be rare. */
    private static final double SURE = 2;

    private final Criteria rule;
    private final Map<String, Stratum> strata = new TreeMap<>();
    private long sinceUs;
    private boolean begun;
    /** Control's answers since it was last told whether it is sick. */
    private long lastControl;

    private long lastControlBad;
    private boolean sick;

    public Gate(Criteria rule) {
        this.rule = rule;
    }

    /** What came since the batch before, in one stratum. Servers that still warm up belong to neither. */
    public void addBatch(String stratum, Tally fresh, Tally control) {
        Stratum s = strata.computeIfAbsent(stratum, n -> new Stratum());
        s.failure.add(fresh.failures(), fresh.attempts(), control.failures(), control.attempts());
        s.silence.add(fresh.timeouts(), fresh.attempts(), control.timeouts(), control.attempts());
        if (s.slowUs > 0) {
            s.slowness.add(
                    fresh.slowerThan(s.slowUs), fresh.successes(), control.slowerThan(s.slowUs), control.successes());
        }
        s.fresh.add(fresh);
        s.control.add(control);
        s.slowUs = s.control.successes() >= KNOWN ? s.control.percentileUs(75) : 0;
        lastControl += control.attempts();
        lastControlBad += control.failures() + control.timeouts();
    }

    /** To be asked after the batches of a time, as often as anybody likes. */
    public Decision decide(long nowUs) {
        if (!begun) {
            begun = true;
            sinceUs = nowUs;
        }
        if (lastControl >= KNOWN) {
            sick = lastControlBad > rule.sickControlFraction * lastControl;
            lastControl = 0;
            lastControlBad = 0;
        }
        double bar = Math.log(KINDS / rule.falseHaltProbability);
        String[] kinds = {"failures", "silence", "slowness"};
        String against = null;
        double most = Double.NEGATIVE_INFINITY;
        for (int kind = 0; kind < KINDS; kind++) {
            double log = mean(kind);
            if (log > most) {
                most = log;
                against = kinds[kind];
            }
        }
        if (most >= SURE * bar) {
            return new Decision(Verdict.BACK, words(against, most));
        }
        if (most >= bar) {
            return new Decision(Verdict.HALT, words(against, most));
        }
        if (sick) {
            return new Decision(Verdict.WAIT, "control servers fail too: nothing can be told");
        }
        String missing = missing(nowUs);
        if (missing == null) {
            return new Decision(Verdict.ON, "no worse than control");
        }
        return nowUs - sinceUs >= rule.maxDurationUs
                ? new Decision(Verdict.HALT, "it can't be told in time: " + missing)
                : new Decision(Verdict.WAIT, missing);
    }

    private double mean(int kind) {
        double most = 0;
        List<Double> logs = new ArrayList<>();
        for (Stratum s : strata.values()) {
            double log = (kind == 0 ? s.failure : kind == 1 ? s.silence : s.slowness).log();
            logs.add(log);
            most = Math.max(most, log);
        }
        double sum = 0;
        for (double l : logs) {
            sum += Math.exp(l - most);
        }
        return logs.isEmpty() ? 0 : most + Math.log(sum / logs.size());
    }

    private String words(String against, double log) {
        Map.Entry<String, Stratum> worst = null;
        for (Map.Entry<String, Stratum> e : strata.entrySet()) {
            worst = worst == null || strength(e.getValue(), against) > strength(worst.getValue(), against) ? e : worst;
        }
        Stratum s = worst.getValue();
        return String.format(
                Locale.ROOT,
                "%s, most in %s: %d of %d failed and %d were silent, control %d of %d and %d; medians %.1f and %.1f ms;"
                        + " evidence e^%.1f",
                against,
                worst.getKey(),
                s.fresh.failures(),
                s.fresh.attempts(),
                s.fresh.timeouts(),
                s.control.failures(),
                s.control.attempts(),
                s.control.timeouts(),
                s.fresh.percentileUs(50) / 1e3,
                s.control.percentileUs(50) / 1e3,
                log);
    }

    private static double strength(Stratum s, String against) {
        return (against.equals("failures") ? s.failure : against.equals("silence") ? s.silence : s.slowness).log();
    }

    /** Null where the stage may go on. */
    private String missing(long nowUs) {
        Tally fresh = new Tally();
        Tally control = new Tally();
        strata.values().forEach(s -> {
            fresh.add(s.fresh);
            control.add(s.control);
        });
        if (fresh.attempts() < rule.minAnswers || control.attempts() < rule.minAnswers) {
            return String.format(
                    Locale.ROOT,
                    "%d answers of new and %d of control servers, %d of each are wanted",
                    fresh.attempts(),
                    control.attempts(),
                    rule.minAnswers);
        }
        if (nowUs - sinceUs < rule.minDurationUs) {
            return String.format(Locale.ROOT, "%.0f of %.0f s", (nowUs - sinceUs) / 1e6, rule.minDurationUs / 1e6);
        }
        double badNew = (fresh.failures() + fresh.timeouts()) / (double) fresh.attempts();
        double badControl = (control.failures() + control.timeouts()) / (double) control.attempts();
        if (badNew > badControl + rule.maxBadFractionExcess) {
            return String.format(
                    Locale.ROOT, "%.1f%% of new answers are bad, %.1f%% of control's", 100 * badNew, 100 * badControl);
        }
        // In one stratum: over all of them a mix that differs would look like slowness.
        for (Map.Entry<String, Stratum> e : strata.entrySet()) {
            Stratum s = e.getValue();
            if (s.fresh.successes() >= KNOWN
                    && s.control.successes() >= KNOWN
                    && s.fresh.percentileUs(50) > rule.maxMedianRatio * s.control.percentileUs(50)) {
                return String.format(
                        Locale.ROOT,
                        "%s: a median of %.1f ms, control's is %.1f ms",
                        e.getKey(),
                        s.fresh.percentileUs(50) / 1e3,
                        s.control.percentileUs(50) / 1e3);
            }
        }
        return null;
    }
}
