package rushproxy.fleet.release;

import java.util.HashMap;
import java.util.Map;
import rushproxy.fleet.release.ReleaseMonitor.TallyPair;

/** Four sidecars that count what the new servers and control give; how many of 20 new answers a second fail. */
public final class SimulatedReports {
    private final Map<String, Map<String, TallyPair>> counts = new HashMap<>();
    public int failuresPer20;
    public int reachableSidecars = 4;

    public Map<String, Map<String, TallyPair>> nextSecond() {
        Map<String, Map<String, TallyPair>> reports = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            TallyPair old = counts.containsKey("n" + i)
                    ? counts.get("n" + i).get("read")
                    : new TallyPair(new Tally(), new Tally());
            TallyPair pair = new TallyPair(
                    old.candidate().deltaSince(null), old.control().deltaSince(null));
            for (int a = 0; a < 20; a++) {
                if (a < failuresPer20) {
                    pair.candidate().addFailure();
                } else {
                    pair.candidate().addSuccess(10_000 + 100 * a);
                }
                pair.control().addSuccess(10_000 + 100 * a);
            }
            counts.put("n" + i, Map.of("read", pair));
            if (i < reachableSidecars) {
                reports.put("n" + i, counts.get("n" + i));
            }
        }
        return reports;
    }
}
