package rushproxy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Servers with cumulative shares, for weighted random draws by binary search. */
final class WeightedTable {
    private final List<PolicyState.Server> servers = new ArrayList<>();
    private double[] cumulativeShares = new double[16];

    void clear() {
        servers.clear();
    }

    void add(PolicyState.Server server) {
        int size = servers.size();
        if (size == cumulativeShares.length) cumulativeShares = Arrays.copyOf(cumulativeShares, 2 * size);
        cumulativeShares[size] = server.share + (size > 0 ? cumulativeShares[size - 1] : 0);
        servers.add(server);
    }

    int size() {
        return servers.size();
    }

    PolicyState.Server get(int index) {
        return servers.get(index);
    }

    /** The server at {@code position} in [0, 1) of the total share. */
    PolicyState.Server draw(double position) {
        int size = servers.size();
        int found = Arrays.binarySearch(cumulativeShares, 0, size, position * cumulativeShares[size - 1]);
        return servers.get(Math.min(size - 1, found < 0 ? -found - 1 : found + 1));
    }
}
