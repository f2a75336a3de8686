package rushproxy.fleet.release;

/**
 * How strongly events speak for a higher rate in one group than in another, as an e-process: a number that starts at 1 and, while both
 * rates are the same at each time, exceeds 1/a at <em>any</em> time with a chance of at most a (Ville's inequality; Grünwald, de Heide,
 * Koolen 2024; Waudby-Smith, Ramdas 2024). So it may be looked at after every batch, and a fault that hits both groups
 * does not move it: only who of the two the events hit counts, not how many there were.
 *
 * <p>Of m events in a batch k hit the new group, which had the part q of what could have been hit. While the rates are the same k is
 * hypergeometric, and E[r^k] is at most (1 - q + r q)^m (Hoeffding 1963, Theorem 4). So r^k / (1 - q + r q)^m multiplies up to
 * an e-process for each ratio r; the mean over several ratios is one too, and needs no guess of how bad the new ones are.
 */
final class Evidence {
    private static final double[] RATIOS = {1.2, 1.5, 2, 4, 10};

    private final double[] logEvidence = new double[RATIOS.length];

    /** Of {@code ofNew} and {@code ofControl} that could be hit, so many were; counts of one batch. */
    void add(long candidateEvents, long candidateTotal, long controlEvents, long controlTotal) {
        if (candidateTotal <= 0 || controlTotal <= 0) {
            // Nobody to compare with: it tells nothing.
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
