package rushproxy.fleet.release;

import java.util.HashMap;
import java.util.Map;
import rushproxy.fleet.release.ReleaseMonitor.TallyPair;

/** Reports of four sidecars, each with 20 answers per second of new servers, some of which fail, and 20 of control. */
public final class SimulatedReports {
    private final Map<String, Map<String, TallyPair>> counts = new HashMap<>();
    public int failuresPer20;
    public int reachableSidecars = 4;

    public Map<String, Map<String, TallyPair>> nextSecond() {
        Map<String, Map<String, TallyPair>> reports = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            TallyPair previous = counts.containsKey("n" + i)
                    ? counts.get("n" + i).get("read")
                    : new TallyPair(new Tally(), new Tally());
            TallyPair pair = new TallyPair(
                    previous.candidate().deltaSince(null), previous.control().deltaSince(null));
            for (int answer = 0; answer < 20; answer++) {
                if (answer < failuresPer20) {
                    pair.candidate().addFailure();
                } else {
                    pair.candidate().addSuccess(10_000 + 100 * answer);
                }
                pair.control().addSuccess(10_000 + 100 * answer);
            }
            counts.put("n" + i, Map.of("read", pair));
            if (i < reachableSidecars) {
                reports.put("n" + i, counts.get("n" + i));
            }
        }
        return reports;
    }
}
