package rushproxy.fleet.release;

/**
 * Evidence that events occur at a higher rate in the candidate group than in the control group, as an e-process: a number that starts
 * at 1 and, as long as both rates are equal, exceeds 1/a at <em>any</em> time with a probability of at most a (Ville's inequality;
 * Grünwald, de Heide, Koolen 2024; Waudby-Smith, Ramdas 2024). It may therefore be checked after every batch. A fault that affects
 * both groups does not change it, as only the distribution of events between the groups counts and not their number.
 *
 * <p>Of m events in a batch, k fall into the candidate group, which has a fraction q of the observations. With equal rates k is
 * hypergeometric, and E[r^k] is at most (1 - q + r q)^m (Hoeffding 1963, Theorem 4). So the product of r^k / (1 - q + r q)^m over
 * the batches is an e-process for each ratio r. The mean over several ratios is one too, and makes no assumption on how bad the
 * candidate is.
 */
final class Evidence {
    /** Ratios of the candidate's event rate to that of control for which evidence is collected. */
    private static final double[] RATIOS = {1.2, 1.5, 2, 4, 10};

    private final double[] logEvidence = new double[RATIOS.length];

    /** Adds one batch: events and observations of both groups. */
    void add(long candidateEvents, long candidateTotal, long controlEvents, long controlTotal) {
        if (candidateTotal <= 0 || controlTotal <= 0) {
            // Without observations in one group there is nothing to compare.
            return;
        }
        double q = candidateTotal / (double) (candidateTotal + controlTotal);
        long m = candidateEvents + controlEvents;
        for (int i = 0; i < RATIOS.length; i++) {
            logEvidence[i] += candidateEvents * Math.log(RATIOS[i]) - m * Math.log(1 - q + RATIOS[i] * q);
        }
    }

    /** Natural logarithm of the evidence. */
    double log() {
        double max = Double.NEGATIVE_INFINITY;
        for (double l : logEvidence) {
            max = Math.max(max, l);
        }
        double sum = 0;
        for (double l : logEvidence) {
            sum += Math.exp(l - max);
        }
        return max + Math.log(sum / RATIOS.length);
    }
}
