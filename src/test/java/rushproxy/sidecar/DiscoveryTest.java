package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DiscoveryTest {
    private static final String UP = SidecarRig.entryJson("u0", "127.0.0.1:9", "Ready", 0);
    /** The call after a bad answer is made by then, and the one after that is not given up. */
    private static final long NEXT_CALL_MS = 300;

    @Test
    void theWatchGoesOnFromEachVersion() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = new SidecarRig((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", SidecarRig.listJson(41, false));
                case 2 -> line.answer("200 OK", "", SidecarRig.listJson(42, false, UP.replace("Ready", "Terminating")));
                case 3 -> line.answer("200 OK", "Connection: close\r\n", SidecarRig.listJson(44, true, UP));
                default -> {}
            }
        })) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            assertEquals("list CACHED u0=READY", rig.awaitEvent("list"));
            // The first answer tells the module that it is subscribed, even without a change.
            assertEquals("list DELTA ", rig.awaitEvent("list"));
            assertEquals("list DELTA u0=DRAINING", rig.awaitEvent("list"));
            assertEquals("list FULL u0=READY", rig.awaitEvent("list"));
            for (int index : new int[] {41, 41, 42, 44}) {
                String path = rig.discovery.next().path();
                assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
            }
        }
    }

    /** Guards against a watch that ends for good, and unsaid, where memory lacks for a list that has come. */
    @Test
    void theWatchGoesOnWhereAListCouldNotBeTakenOver() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = new SidecarRig((m, line) -> {
            if (calls.incrementAndGet() <= 2) {
                line.answer("200 OK", "", SidecarRig.listJson(41 + calls.get(), true, UP));
            }
        })) {
            AtomicInteger lists = new AtomicInteger();
            rig.onFullList = () -> {
                if (lists.incrementAndGet() == 1) {
                    throw new OutOfMemoryError("as the test wants");
                }
            };
            rig.addUpstream((m, line) -> {});
            rig.start();
            assertEquals("list FULL u0=READY", rig.awaitEvent("list FULL"));
            assertEquals("list FULL u0=READY", rig.awaitEvent("list FULL"));
            rig.discovery.next();
            assertEquals("/registry/instances", rig.discovery.next().path());
        }
    }

    /** A bad answer is a failed call; taken for an empty list it would end all service. */
    @Test
    void aBadAnswerIsAFailedCallAndThenTheWholeListIsAskedFor() throws Exception {
        String[] bad = {
            "no json",
            "",
            "{}",
            "[]",
            "null",
            "{\"generation\":50,\"reset\":true,\"instances\":[]}",
            "{\"generation\":50,\"reset\":true}",
            SidecarRig.listJson(40, false, UP),
            SidecarRig.listJson(50, false, UP.replace("Ready", "?")),
            SidecarRig.listJson(50, true, UP.replace("127.0.0.1:9", "nowhere")),
            "{\"generation\":50,\"reset\":true,\"instances\":[7]}"
        };
        for (String answer : bad) {
            AtomicInteger calls = new AtomicInteger();
            try (SidecarRig rig = new SidecarRig((m, line) -> {
                switch (calls.incrementAndGet()) {
                    case 1 -> line.answer("200 OK", "", answer);
                    case 2 -> line.answer("200 OK", "", SidecarRig.listJson(60, true, UP));
                    default -> {}
                }
            })) {
                rig.addUpstream((m, line) -> {});
                // However late the answer comes here, the call that it answers is not given up.
                rig.clock.freeze();
                rig.start();
                rig.awaitEvent("list CACHED");
                assertEquals("list FAILED ", rig.awaitEvent("list"), answer);
                rig.advanceTime(NEXT_CALL_MS);
                assertEquals("list FULL u0=READY", rig.awaitEvent("list"));
                rig.advanceTime(NEXT_CALL_MS);
                rig.discovery.next();
                assertEquals("/registry/instances", rig.discovery.next().path(), answer);
                assertTrue(rig.discovery.next().path().contains("?index=60&wait="));
            }
        }
    }

    @Test
    void callsThatFailAreToldAndTheVersionIsKept() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = new SidecarRig((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("503 Down", "", "");
                case 2 -> line.reset();
                case 3 -> line.raw("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n");
                case 4 -> line.answer("200 OK", "", SidecarRig.listJson(43, false, UP));
                default -> {}
            }
        })) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            rig.awaitEvent("list CACHED");
            for (int i = 0; i < 3; i++) {
                assertEquals("list FAILED ", rig.awaitEvent("list"));
                assertTrue(rig.discovery.next().path().contains("?index=41&wait="));
            }
            assertEquals("list DELTA u0=READY", rig.awaitEvent("list"));
        }
    }

    /** Where lists are pushed the module never asks: the sidecar keeps its watch by itself, also after failures. */
    @Test
    void pushedListsAreWatchedWithoutBeingAskedFor() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = new SidecarRig((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", SidecarRig.listJson(41, false));
                case 2 -> line.answer("503 Down", "", "");
                case 3 -> line.answer("200 OK", "", SidecarRig.listJson(42, false, UP));
                default -> {}
            }
        })) {
            rig.settings = rig.settings.replace("on_request", "pushed");
            rig.subscribes = false;
            rig.addUpstream((m, line) -> {});
            rig.start();
            rig.awaitEvent("list CACHED");
            assertEquals(
                    "list DELTA u0=READY", rig.awaitEvent("list"), "told of a call it has not made, or of no change");
        }
    }

    private static long waits(String path) {
        return Long.parseLong(path.substring(path.indexOf("wait=") + 5));
    }

    private static SidecarRig pushed(Peer.Script discovery) throws Exception {
        SidecarRig rig = new SidecarRig(discovery);
        rig.settings = rig.settings.replace("on_request", "pushed");
        rig.subscribes = false;
        rig.addUpstream((m, line) -> {});
        rig.start();
        rig.awaitEvent("list CACHED");
        return rig;
    }

    /**
     * What a silent watch misses counts 6 s after it fell silent, or 2 s after its wait is over. So it waits briefly, is given
     * up within half a second of that, and what follows does not wait: news is there, or the call is made again at once.
     */
    @Test
    void aWatchThatFallsSilentIsOpenedAnewBeforeItsNewsCounts() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = pushed((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", SidecarRig.listJson(41, false));
                case 3 -> line.answer("200 OK", "", SidecarRig.listJson(42, false, UP.replace("Ready", "Terminating")));
                default -> {}
            }
        })) {
            assertEquals("list DELTA u0=DRAINING", rig.awaitEvent("list"));
            assertEquals(0, waits(rig.discovery.next().path()), "of a new process all counts at once");
            assertTrue(waits(rig.discovery.next().path()) <= 2_000);
            assertEquals(0, waits(rig.discovery.next().path()), "after silence nothing is waited for");
            assertTrue(Discovery.LEARNT_AFTER_MS + 500 <= 6_000, "with the grace for sends");
            assertTrue(Discovery.LEARNT_AFTER_MS <= 2_000 + 2_000, "2 s after the wait of the silent watch");
        }
    }

    /** Each way in which a watch can break is followed by a call that does not wait, on a connection of its own. */
    @Test
    void aWatchThatBreaksIsFollowedByACallThatDoesNotWait() throws Exception {
        java.util.Map<String, Peer.Script> breaks = java.util.Map.of(
                "reset", (m, line) -> line.reset(),
                "reset within a list",
                        (m, line) -> {
                            line.raw("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"generation\":43,\"reset\":tr");
                            line.reset();
                        },
                "closed", (m, line) -> line.socket().close(),
                "refused", (m, line) -> line.answer("503 Down", "", ""));
        for (java.util.Map.Entry<String, Peer.Script> broken : breaks.entrySet()) {
            AtomicInteger calls = new AtomicInteger();
            try (SidecarRig rig = pushed((m, line) -> {
                switch (calls.incrementAndGet()) {
                    case 1 -> line.answer("200 OK", "", SidecarRig.listJson(41, false));
                    case 2 -> broken.getValue().handle(m, line);
                    case 3 ->
                        line.answer("200 OK", "", SidecarRig.listJson(42, false, UP.replace("Ready", "Terminating")));
                    default -> {}
                }
            })) {
                assertEquals("list DELTA u0=DRAINING", rig.awaitEvent("list"), broken.getKey());
                rig.discovery.next();
                rig.discovery.next();
                String path = rig.discovery.next().path();
                assertEquals("/registry/instances?index=41&wait=0", path, broken.getKey());
            }
        }
    }

    /** While discovery is down nearly always a call is out, and none that would be given up late. */
    @Test
    void whileDiscoveryIsSilentItIsCalledAgainAndAgain() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = pushed((m, line) -> {
            int call = calls.incrementAndGet();
            if (call == 1 || call == 6) {
                line.answer("200 OK", "", SidecarRig.listJson(call + 40, false));
            } else if (call == 5) {
                line.answer("200 OK", "", SidecarRig.listJson(45, false, UP.replace("Ready", "Terminating")));
            }
        })) {
            assertEquals("list DELTA u0=DRAINING", rig.awaitEvent("list"));
            rig.discovery.next();
            assertTrue(waits(rig.discovery.next().path()) > 0);
            for (int i = 3; i <= 5; i++) {
                assertEquals(0, waits(rig.discovery.next().path()));
            }
            assertTrue(waits(rig.discovery.next().path()) > 0, "answered, it is a watch again");
            assertTrue(rig.discovery.accepted.size() >= 4, "what is silent gets no second call");
        }
    }

    /** Where the module asks, the sidecar goes on by itself as well: the module's own pauses have no bound here. */
    @Test
    void aWatchThatTheModuleAskedForGoesOnWithoutIt() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = new SidecarRig((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", SidecarRig.listJson(41, false));
                case 2 -> line.reset();
                case 3 -> line.answer("200 OK", "", SidecarRig.listJson(42, false, UP.replace("Ready", "Terminating")));
                default -> {}
            }
        })) {
            rig.addUpstream((m, line) -> {});
            rig.subscribesOnce = true;
            rig.start();
            rig.awaitEvent("list CACHED");
            assertEquals("list DELTA ", rig.awaitEvent("list"));
            assertEquals("list FAILED ", rig.awaitEvent("list"));
            assertEquals("list DELTA u0=DRAINING", rig.awaitEvent("list"));
        }
    }

    private static String many(int from, int to, String state) {
        return java.util.stream.IntStream.range(from, to)
                .mapToObj(i -> SidecarRig.entryJson("s" + i, "127.0.0.1:" + (1_000 + i), state, 0))
                .collect(java.util.stream.Collectors.joining(","));
    }

    /** As discovery may write it: each value on a line of its own. */
    private static String indented(String json) {
        return json.replace("{", "{\n            ")
                .replace(",\"", ",\n            \"")
                .replace("}", "\n        }");
    }

    /** Whole, indented, in changes; then one that is too long and one that is spoilt, after which the list before holds. */
    @Test
    void thousandsOfServersAreTakenAndWhatIsTooLongLeavesThemInForce() throws Exception {
        int servers = 10_000;
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = pushed((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", indented(SidecarRig.listJson(42, true, many(0, servers, "Ready"))));
                case 2 -> line.answer("200 OK", "", SidecarRig.listJson(43, false, many(0, 1_024, "Terminating")));
                case 3 -> line.answer("200 OK", "", SidecarRig.listJson(44, true, many(0, 40_000, "Ready")));
                case 4 ->
                    line.answer(
                            "200 OK",
                            "",
                            "{\"generation\":45,\"reset\":true,\"instances\":[" + many(0, 1_024, "Ready"));
                case 5 -> line.answer("200 OK", "", SidecarRig.listJson(46, true, many(5, 6, "Ready")));
                default -> {}
            }
        })) {
            assertEquals(servers, rig.awaitEvent("list FULL").split("=READY", -1).length - 1);
            String changes = rig.awaitEvent("list");
            assertEquals(1_024, changes.split("=DRAINING", -1).length - 1, changes.substring(0, 20));
            // The two answers that are no lists told the module nothing.
            assertEquals("list FULL s5=READY", rig.awaitEvent("list"));
            String[] paths = new String[5];
            for (int i = 0; i < paths.length; i++) {
                paths[i] = rig.discovery.next().path();
            }
            assertTrue(paths[3].contains("index=43&wait=0"), "after the one too long: " + paths[3]);
            assertEquals("/registry/instances", paths[4], "after the spoilt one");
        }
    }
}
