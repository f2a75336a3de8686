package rushproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Addresses;

/** What the laboratory can describe is bounded by its addresses and the machine's descriptors, by no smaller number. */
class LargeFleetTest {
    @Test
    void aThousandSidecarsAndServersCanBeDescribed() throws Exception {
        Scenario s = ScenarioReader.read("demo", Map.of("fleet.nodes", "1024", "servers.0.count", "1024"));
        assertEquals(1_024, s.fleet().nodes());
        assertTrue(ScenarioReader.serverNames(s).size() >= 1_024);
    }

    @Test
    void eachOfAThousandHasAddressesThatNobodyElseHas() throws Exception {
        try (Addresses a = Addresses.claim()) {
            Set<InetSocketAddress> all = new HashSet<>();
            int nodes = 1_024;
            for (int i = 0; i < nodes; i++) {
                all.addAll(Set.of(
                        a.listen(i),
                        a.admin(i, 0),
                        a.admin(i, 1),
                        a.peerListen(i),
                        a.discovery(i, 0),
                        a.discovery(i, 1)));
                for (int j = 0; j < nodes; j += 31) {
                    all.add(a.upstream(i, j));
                    all.add(a.peer(i, j));
                }
            }
            assertEquals(nodes * 6 + 2 * nodes * ((nodes + 30) / 31), all.size());
        }
    }

    @Test
    void whatNeedsMoreDescriptorsThanThereAreIsSaidBeforeAnythingStarts() throws Exception {
        Lab.room(60, 200, 20_000);
        String line = assertThrows(IOException.class, () -> Lab.room(1_024, 1_024, 20_000))
                .getMessage();
        assertEquals(
                "fleet.nodes, servers: 1024 sidecars and 1024 servers need 2101760 descriptors here, and 20000 may be open",
                line);
    }
}
