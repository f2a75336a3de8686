package rushproxy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Servers to draw from, with their shares summed up: one draw is one search. */
final class WeightedTable {
    private final List<PolicyState.Server> servers = new ArrayList<>();
    private double[] cumulativeShares = new double[16];

    void clear() {
        servers.clear();
    }

    void add(PolicyState.Server s) {
        int n = servers.size();
        if (n == cumulativeShares.length) cumulativeShares = Arrays.copyOf(cumulativeShares, 2 * n);
        cumulativeShares[n] = s.share + (n > 0 ? cumulativeShares[n - 1] : 0);
        servers.add(s);
    }

    int size() {
        return servers.size();
    }

    PolicyState.Server get(int i) {
        return servers.get(i);
    }

    /** The server at {@code x} of [0, 1) of the summed shares. */
    PolicyState.Server draw(double x) {
        int n = servers.size();
        int i = Arrays.binarySearch(cumulativeShares, 0, n, x * cumulativeShares[n - 1]);
        return servers.get(Math.min(n - 1, i < 0 ? -i - 1 : i + 1));
    }
}
