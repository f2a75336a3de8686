package rushproxy.fleet.release;

import java.util.HashMap;
import java.util.Map;
import rushproxy.fleet.release.Watch.Pair;

/** Four sidecars that count what the new servers and control give; how many of 20 new answers a second fail. */
public final class CountedFleet {
    private final Map<String, Map<String, Pair>> counted = new HashMap<>();
    public int badOf20;
    public int reach = 4;

    public Map<String, Map<String, Pair>> second() {
        Map<String, Map<String, Pair>> reports = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            Pair old = counted.containsKey("n" + i)
                    ? counted.get("n" + i).get("read")
                    : new Pair(new Tally(), new Tally());
            Pair pair = new Pair(old.fresh().since(null), old.control().since(null));
            for (int a = 0; a < 20; a++) {
                if (a < badOf20) {
                    pair.fresh().failed();
                } else {
                    pair.fresh().good(10_000 + 100 * a);
                }
                pair.control().good(10_000 + 100 * a);
            }
            counted.put("n" + i, Map.of("read", pair));
            if (i < reach) {
                reports.put("n" + i, counted.get("n" + i));
            }
        }
        return reports;
    }
}
