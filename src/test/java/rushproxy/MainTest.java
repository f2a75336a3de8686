package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts, signals and stops the program as its platform does. */
@Timeout(120)
class MainTest {
    @TempDir
    Path folder;

    private Process start(String config) throws Exception {
        return start(config, "exec \"$0\" \"$@\"");
    }

    /** Starts the program from a shell; {@code shell} ends with the command {@code "$0" "$@"}. */
    private Process start(String config, String shell) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                shell,
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "rushproxy.Main",
                "serve");
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.redirectError(folder.resolve("log").toFile());
        return builder.start();
    }

    private List<String> log() throws Exception {
        return Files.readString(folder.resolve("log"), StandardCharsets.UTF_8)
                .lines()
                .filter(l -> !l.startsWith("Picked up "))
                .toList();
    }

    @Test
    void invalidConfigurationEndsTheProcessWithOneLogLine() throws Exception {
        Process p = start("{\"name\":\"n\"}");
        assertEquals(2, p.waitFor());
        assertEquals(1, log().size(), log().toString());
        assertTrue(log().get(0).contains("'settings' is missing"), log().toString());
    }

    private static final String CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","peer_listen":"127.0.0.1:0",
             "known":{"generation":1,"reset":true,"instances":[]},
             "settings":{"me":0,"balancers":1,"zone":"z","discovery":"on_request",
              "profiles":[{"name":"c","semantics":"safe","objective_us":1,"give_up_us":1}],
              "rules":{"drain_grace_us":1,"cold_share":0.2,"ramp_time_us":1,"fall_multiple":3,"fall_us":1}}}""";

    private void awaitLog(Process p, String text) throws Exception {
        while (log().stream().noneMatch(l -> l.contains(text))) {
            assertTrue(p.isAlive(), () -> "the process ended instead of logging '" + text + "'");
            Thread.sleep(20);
        }
    }

    private static void sendHangUp(Process p) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", "" + p.pid()).start().waitFor());
    }

    /** Checks a process after a reload of an invalid configuration, which has then been replaced by one with a new discovery address. */
    private interface DiscoveryMoveCheck {
        void check(Process process, Socket oldWatch, ServerSocket moved) throws Exception;
    }

    private void moveDiscovery(DiscoveryMoveCheck then) throws Exception {
        try (ServerSocket before = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                ServerSocket after = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            after.setSoTimeout(20_000);
            String config = CONFIG.replace("on_request", "pushed");
            Process p = start(config.replace("127.0.0.1:9", "127.0.0.1:" + before.getLocalPort()));
            try (Socket old = before.accept()) {
                awaitLog(p, " serves on ");
                Files.writeString(folder.resolve("config.json"), "{");
                sendHangUp(p);
                awaitLog(p, "nothing reloaded");
                Files.writeString(
                        folder.resolve("config.json"),
                        config.replace("127.0.0.1:9", "127.0.0.1:" + after.getLocalPort()));
                then.check(p, old, after);
            } finally {
                p.destroy();
                p.waitFor();
            }
        }
    }

    /** A reload moves the watch to the new discovery address; an invalid configuration changes nothing. */
    @Test
    void reloadWatchesTheNewDiscoveryAddress() throws Exception {
        moveDiscovery((process, oldWatch, moved) -> {
            sendHangUp(process);
            try (Socket fresh = moved.accept()) {
                byte[] start = fresh.getInputStream().readNBytes(32);
                assertEquals("GET /registry/instances?index=1&", new String(start, StandardCharsets.US_ASCII));
                oldWatch.getInputStream().readAllBytes();
                assertTrue(process.isAlive(), log().toString());
            }
        });
    }

    /** A configuration that is incomplete during a reload, for example while it is written, is read again without another signal. */
    @Test
    void temporarilyUnreadableConfigurationIsReadAgain() throws Exception {
        moveDiscovery((process, oldWatch, moved) -> {
            try (Socket fresh = moved.accept()) {
                assertTrue(process.isAlive(), log().toString());
            }
        });
    }

    /** The listen address may still be in use for a moment, for example by a predecessor that is ending. */
    @Test
    void listenAddressInUseIsRetried() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Process p = start(CONFIG.replace(
                    "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + taken.getLocalPort() + "\""));
            try {
                assertTrue(!p.waitFor(1_500, TimeUnit.MILLISECONDS), log().toString());
                taken.close();
                awaitLog(p, " serves on ");
            } finally {
                p.destroy();
                p.waitFor();
            }
        }
    }

    /** The JVM keeps an ignored signal ignored: the log must explain why reloads do not happen. */
    @Test
    void ignoredReloadSignalIsLogged() throws Exception {
        Process p = start(CONFIG, "trap '' HUP; exec \"$0\" \"$@\"");
        try {
            awaitLog(p, " serves on ");
            assertTrue(log().stream().anyMatch(l -> l.contains("SIGHUP ignored")), log().toString());
        } finally {
            p.destroy();
            p.waitFor();
        }
    }

    /** On SIGTERM the process exits with 0 once it has drained; the signal's own exit code would hide that. */
    @Test
    void terminationExitsWithZero() throws Exception {
        Process p = start(CONFIG);
        awaitLog(p, " serves on ");
        p.destroy();
        assertTrue(p.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, p.exitValue(), log().toString());
        List<String> log = log();
        assertTrue(log.get(log.size() - 2).contains(" is to leave"), log.toString());
        assertTrue(log.get(log.size() - 1).contains(" leaves after "), log.toString());
    }

    /** A reload signal before the configuration is loaded is handled afterwards and does not end the process. */
    @Test
    void reloadDuringStartupIsDoneAfterwards() throws Exception {
        Path file = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "rushproxy.Main",
                "serve");
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.redirectError(folder.resolve("log").toFile());
        Process p = builder.start();
        try (ServerSocket moved = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            moved.setSoTimeout(60_000);
            // Opening a pipe for writing waits for its reader: the process now reads its configuration.
            try (java.io.OutputStream first = Files.newOutputStream(file)) {
                sendHangUp(p);
                // An unhandled signal would have ended the process by now; it waits for the rest of the file.
                assertTrue(!p.waitFor(500, TimeUnit.MILLISECONDS), log().toString());
                Files.writeString(
                        folder.resolve("next.json"),
                        CONFIG.replace("on_request", "pushed")
                                .replace("127.0.0.1:9", "127.0.0.1:" + moved.getLocalPort()));
                // The open file remains the pipe; the next read gets this file.
                Files.move(folder.resolve("next.json"), file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                first.write(CONFIG.replace("on_request", "pushed").getBytes(StandardCharsets.US_ASCII));
            }
            try (Socket fresh = moved.accept()) {
                assertTrue(p.isAlive(), log().toString());
            }
        } finally {
            p.destroy();
            p.waitFor();
        }
    }

    /** 1,024 servers in an indented list and 1,024 peers fit into a quarter of the heap that the platform provides. */
    @Test
    void largeFleetFitsIntoASidecarsMemory() throws Exception {
        StringBuilder servers = new StringBuilder();
        StringBuilder peers = new StringBuilder();
        for (int i = 0; i < 1_024; i++) {
            servers.append(i == 0 ? "" : ",")
                    .append("{\n    \"instanceId\": \"s")
                    .append(i)
                    .append("\",\n    \"hostPort\": \"127.0.0.1:")
                    .append(20_000 + i)
                    .append(
                            "\",\n    \"zone\": \"z\",\n    \"machineType\": \"k\",\n    \"cell\": 1,\n    \"lifecycle\": ")
                    .append("\"Ready\",\n    \"weight\": 1.0,\n    \"startedAtMs\": 0\n  }");
            peers.append(i == 0 ? "" : ",")
                    .append("\"127.0.0.1:")
                    .append(30_000 + i)
                    .append('"');
        }
        String config = CONFIG.replace("\"instances\":[]", "\"instances\":[" + servers + "]")
                .replace("\"balancers\":1", "\"balancers\":1024")
                .replace(
                        "\"peer_listen\"",
                        "\"fleet\":{\"members\":true,\"shared\":true},\"peers\":[" + peers + "],\"peer_listen\"");
        Process p = start(config, "exec \"$0\" -XX:+UseSerialGC -Xmx16m -XX:MaxDirectMemorySize=40m \"$@\"");
        try {
            awaitLog(p, " serves on ");
            assertTrue(
                    log().stream().noneMatch(l -> l.contains("OutOfMemory") || l.contains("failed: java")),
                    log().toString());
        } finally {
            p.destroy();
            p.waitFor();
        }
    }
}
