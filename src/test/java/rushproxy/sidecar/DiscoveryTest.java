package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Polling of the discovery agent: versions, invalid responses, and the bounds on how late a change is learned. */
@Timeout(60)
class DiscoveryTest {
    private static final String UP = SidecarRig.entryJson("u0", "127.0.0.1:9", "Ready", 0);
    /** Longer than the interval after an invalid response, shorter than the timeout of a poll. */
    private static final long NEXT_POLL_MS = 300;

    @Test
    void eachPollContinuesFromTheLastVersion() throws Exception {
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
            // The first response confirms the subscription to the module, even without a change.
            assertEquals("list DELTA ", rig.awaitEvent("list"));
            assertEquals("list DELTA u0=DRAINING", rig.awaitEvent("list"));
            assertEquals("list FULL u0=READY", rig.awaitEvent("list"));
            for (int index : new int[] {41, 41, 42, 44}) {
                String path = rig.discovery.next().path();
                assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
            }
        }
    }

    /** Guards against polling that stops silently after an error, such as a lack of memory, while a list is applied. */
    @Test
    void pollingContinuesAfterAListCouldNotBeApplied() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = new SidecarRig((m, line) -> {
            if (calls.incrementAndGet() <= 2) {
                line.answer("200 OK", "", SidecarRig.listJson(41 + calls.get(), true, UP));
            }
        })) {
            AtomicInteger lists = new AtomicInteger();
            rig.onFullList = () -> {
                if (lists.incrementAndGet() == 1) {
                    throw new OutOfMemoryError("simulated");
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

    /** Guards against an invalid response being taken for an empty list, which would stop all service. */
    @Test
    void anInvalidResponseIsAFailureAndTheFullListIsRequestedNext() throws Exception {
        String[] invalid = {
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
        for (String answer : invalid) {
            AtomicInteger calls = new AtomicInteger();
            try (SidecarRig rig = new SidecarRig((m, line) -> {
                switch (calls.incrementAndGet()) {
                    case 1 -> line.answer("200 OK", "", answer);
                    case 2 -> line.answer("200 OK", "", SidecarRig.listJson(60, true, UP));
                    default -> {}
                }
            })) {
                rig.addUpstream((m, line) -> {});
                // With the clock stopped no poll times out, however late its response is processed.
                rig.clock.freeze();
                rig.start();
                rig.awaitEvent("list CACHED");
                assertEquals("list FAILED ", rig.awaitEvent("list"), answer);
                rig.advanceTime(NEXT_POLL_MS);
                assertEquals("list FULL u0=READY", rig.awaitEvent("list"));
                rig.advanceTime(NEXT_POLL_MS);
                rig.discovery.next();
                assertEquals("/registry/instances", rig.discovery.next().path(), answer);
                assertTrue(rig.discovery.next().path().contains("?index=60&wait="));
            }
        }
    }

    @Test
    void failedPollsAreReportedAndTheVersionIsKept() throws Exception {
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

    /** If lists are pushed the module never subscribes; the sidecar polls by itself, also after failures. */
    @Test
    void pushedListsArePolledWithoutASubscription() throws Exception {
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
            assertEquals("list DELTA u0=READY", rig.awaitEvent("list"), "the module was notified without a change");
        }
    }

    private static long waitMs(String path) {
        return Long.parseLong(path.substring(path.indexOf("wait=") + 5));
    }

    private static SidecarRig pushed(TestServer.Handler discovery) throws Exception {
        SidecarRig rig = new SidecarRig(discovery);
        rig.settings = rig.settings.replace("on_request", "pushed");
        rig.subscribes = false;
        rig.addUpstream((m, line) -> {});
        rig.start();
        rig.awaitEvent("list CACHED");
        return rig;
    }

    /**
     * If the agent stops responding, its changes must be known 6 s later, and 2 s after the wait of the poll. So a poll waits briefly, times
     * out half a second after its wait, and is followed by one without a wait.
     */
    @Test
    void anUnresponsivePollIsReplacedWithinItsBound() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarRig rig = pushed((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", SidecarRig.listJson(41, false));
                case 3 -> line.answer("200 OK", "", SidecarRig.listJson(42, false, UP.replace("Ready", "Terminating")));
                default -> {}
            }
        })) {
            assertEquals("list DELTA u0=DRAINING", rig.awaitEvent("list"));
            assertEquals(0, waitMs(rig.discovery.next().path()), "the first poll of a process must not wait");
            assertTrue(waitMs(rig.discovery.next().path()) <= 2_000);
            assertEquals(0, waitMs(rig.discovery.next().path()), "a poll after a timeout must not wait");
            assertTrue(Discovery.MAX_CHANGE_DELAY_MS + 500 <= 6_000, "6 s, with the grace of half a second for sends");
            assertTrue(Discovery.MAX_CHANGE_DELAY_MS <= 2_000 + 2_000, "2 s after the wait of the unresponsive poll");
        }
    }

    /** Each failure of a pending poll is followed by a poll without a wait on a new connection. */
    @Test
    void aBrokenPollIsFollowedByOneWithoutAWait() throws Exception {
        java.util.Map<String, TestServer.Handler> failures = java.util.Map.of(
                "reset", (m, line) -> line.reset(),
                "reset within a list",
                        (m, line) -> {
                            line.raw("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"generation\":43,\"reset\":tr");
                            line.reset();
                        },
                "closed", (m, line) -> line.socket().close(),
                "refused", (m, line) -> line.answer("503 Down", "", ""));
        for (java.util.Map.Entry<String, TestServer.Handler> failure : failures.entrySet()) {
            AtomicInteger calls = new AtomicInteger();
            try (SidecarRig rig = pushed((m, line) -> {
                switch (calls.incrementAndGet()) {
                    case 1 -> line.answer("200 OK", "", SidecarRig.listJson(41, false));
                    case 2 -> failure.getValue().handle(m, line);
                    case 3 ->
                        line.answer("200 OK", "", SidecarRig.listJson(42, false, UP.replace("Ready", "Terminating")));
                    default -> {}
                }
            })) {
                assertEquals("list DELTA u0=DRAINING", rig.awaitEvent("list"), failure.getKey());
                rig.discovery.next();
                rig.discovery.next();
                String path = rig.discovery.next().path();
                assertEquals("/registry/instances?index=41&wait=0", path, failure.getKey());
            }
        }
    }

    /** While the agent is down a poll without a wait is nearly always pending, and times out early. */
    @Test
    void pollsAreRepeatedWhileDiscoveryIsUnresponsive() throws Exception {
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
            assertTrue(waitMs(rig.discovery.next().path()) > 0);
            for (int i = 3; i <= 5; i++) {
                assertEquals(0, waitMs(rig.discovery.next().path()));
            }
            assertTrue(waitMs(rig.discovery.next().path()) > 0, "after a response polls wait again");
            assertTrue(rig.discovery.accepted.size() >= 4, "polls after a timeout must use new connections");
        }
    }

    /** After a subscription the sidecar keeps polling by itself, as the module may pause between subscriptions for any time. */
    @Test
    void pollingContinuesAfterASingleSubscription() throws Exception {
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

    /** Formats JSON with one value on each line, as discovery may. */
    private static String indented(String json) {
        return json.replace("{", "{\n            ")
                .replace(",\"", ",\n            \"")
                .replace("}", "\n        }");
    }

    /** A full list in indented JSON and a delta are applied; an oversized and a truncated response leave the previous list in force. */
    @Test
    void largeListsAreAppliedAndInvalidAnswersKeepThePreviousList() throws Exception {
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
            // The module was not notified of the two invalid responses.
            assertEquals("list FULL s5=READY", rig.awaitEvent("list"));
            String[] paths = new String[5];
            for (int i = 0; i < paths.length; i++) {
                paths[i] = rig.discovery.next().path();
            }
            assertTrue(paths[3].contains("index=43&wait=0"), "after the oversized response: " + paths[3]);
            assertEquals("/registry/instances", paths[4], "after the truncated response");
        }
    }
}
