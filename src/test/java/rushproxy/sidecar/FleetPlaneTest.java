package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushproxy.PeerMessage;
import rushproxy.fleet.Envelope;

/** The fleet plane in a sidecar: dispatch of datagrams, admin commands, warm start, departure and configuration errors. */
@Timeout(60)
class FleetPlaneTest {
    private static final int MODULE_MESSAGE_BYTES = PeerMessage.encodedLength(1, 1);

    private static DatagramSocket socket() throws Exception {
        DatagramSocket s = new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        s.setSoTimeout(20_000);
        return s;
    }

    private static SidecarRig rig(DatagramSocket peer) throws Exception {
        return rig("{\"members\":true}", peer);
    }

    private static SidecarRig rig(String fleet, DatagramSocket... peers) throws Exception {
        SidecarRig rig = new SidecarRig().withAdmin();
        StringBuilder list = new StringBuilder("\"127.0.0.1:9\"");
        for (DatagramSocket p : peers) {
            list.append(",\"127.0.0.1:").append(p.getLocalPort()).append('"');
        }
        rig.peerFields = "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[" + list + "],\"fleet\":" + fleet + ",";
        return rig;
    }

    /** A datagram with one entry of the shared store: a member's report on a server. */
    private static byte[] report(int member, String server, int kind) {
        long now = System.currentTimeMillis();
        ByteBuffer b = ByteBuffer.allocate(60).put((byte) 1);
        Envelope.put48(b, Envelope.idOf(server));
        Envelope.put48(b, Envelope.idOf("n" + member));
        b.putLong(now << 16).putInt(15_000).put((byte) 6).put(new byte[] {(byte) kind, 0, 16, 3, 0, 0});
        return Envelope.from(Envelope.idOf("n" + member), now).addSection(21, b).toBytes(MODULE_MESSAGE_BYTES);
    }

    private static Envelope.Message next(DatagramSocket peer, DatagramPacket into) throws Exception {
        into.setLength(1_000);
        peer.receive(into);
        assertTrue(
                into.getLength() <= Envelope.MAX_BYTES && into.getLength() != MODULE_MESSAGE_BYTES,
                "" + into.getLength());
        return Envelope.parse(java.util.Arrays.copyOf(into.getData(), into.getLength()));
    }

    @Test
    void datagramsAreDispatchedToTheFleetPlaneOrTheModuleByLength() throws Exception {
        try (DatagramSocket peer = socket();
                SidecarRig rig = rig(peer).start()) {
            DatagramPacket got = new DatagramPacket(new byte[1_000], 1_000);
            Envelope.Message first = next(peer, got);
            assertEquals(Envelope.idOf("n0"), first.sender());
            InetSocketAddress sidecar = (InetSocketAddress) got.getSocketAddress();
            byte[] ping = Envelope.from(Envelope.idOf("n1"), System.currentTimeMillis())
                    .addSection(1, ByteBuffer.allocate(2).putShort((short) 77))
                    .toBytes(MODULE_MESSAGE_BYTES);
            peer.send(new DatagramPacket(ping, ping.length, sidecar));
            Envelope.Message answer;
            do {
                answer = next(peer, got);
            } while (answer.sections().get(0).type() != 2);
            assertEquals(77, ByteBuffer.wrap(answer.sections().get(0).bytes()).getShort());
            peer.send(new DatagramPacket(new byte[MODULE_MESSAGE_BYTES], MODULE_MESSAGE_BYTES, sidecar));
            assertEquals(
                    "peer 1 " + MODULE_MESSAGE_BYTES,
                    rig.awaitEvent("peer"),
                    "a fleet datagram was passed to the module");
            assertEquals("fleet 2 MAJORITY", rig.awaitEvent("fleet 2"));
            String members = rig.callAdmin("members");
            assertTrue(
                    members.startsWith("ACK {\"self\":\"n0\",\"here\":2,\"expected\":2,\"standing\":\"majority\""),
                    members);
            CountDownLatch stopped = new CountDownLatch(1);
            rig.sidecar.stop(stopped::countDown);
            Envelope.Message last;
            do {
                last = next(peer, got);
            } while (last.sections().get(0).type() != 6
                    || last.sections().get(0).bytes()[12] != 3);
            assertEquals(Envelope.idOf("n0"), last.sender());
            stopped.await();
        }
    }

    /** Reports of two peers against an upstream lead to a verdict, which the module receives and operators can query. */
    @Test
    void reportsOfTwoPeersBecomeAVerdict() throws Exception {
        try (DatagramSocket one = socket();
                DatagramSocket two = socket();
                SidecarRig rig = rig("{\"members\":true,\"shared\":true}", one, two)) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            DatagramPacket got = new DatagramPacket(new byte[1_000], 1_000);
            next(one, got);
            InetSocketAddress sidecar = (InetSocketAddress) got.getSocketAddress();
            for (DatagramSocket s : new DatagramSocket[] {one, two}) {
                byte[] report = report(s == one ? 1 : 2, "u0", 1);
                s.send(new DatagramPacket(report, report.length, sidecar));
            }
            assertEquals("verdict u0 SILENT true", rig.awaitEvent("verdict u0 SILENT true"));
            String verdicts = rig.callAdmin("verdicts");
            assertTrue(
                    verdicts.startsWith(
                                    "ACK {\"self\":\"n0\",\"servers\":1,\"verdicts\":[{\"server\":\"u0\",\"kind\":\"silent\"")
                            && verdicts.contains("\"holds\":true"),
                    verdicts);
        }
    }

    @Test
    void limitsComeFromTheConfigurationAndFromCommands() throws Exception {
        try (DatagramSocket peer = socket();
                SidecarRig rig = rig(
                                "{\"members\":true,\"shared\":true,\"limits\":[{\"name\":\"some\","
                                        + "\"class\":\"c\",\"per_second\":40}]}",
                                peer)
                        .start()) {
            assertEquals(
                    "share some 20.0",
                    rig.awaitEvent("share some 20.0"),
                    "its share, once the previous process's lease is over");
            assertEquals("ACK\n", rig.callAdmin("limit some class:c 10 in_flight"));
            assertEquals("share some 5.0", rig.awaitEvent("share some 5.0"));
            assertTrue(rig.callAdmin("limits")
                    .contains("\"name\":\"some\",\"of\":\"class:c\",\"per\":\"in_flight\",\"most\":10.0"));
            assertEquals("ACK\n", rig.callAdmin("unlimit some"));
            assertEquals("share some 20.0", rig.awaitEvent("share some 20.0"));
            assertEquals("NAK no limit of this name was set by an operator\n", rig.callAdmin("unlimit other"));
            assertEquals("NAK unknown class 'x'\n", rig.callAdmin("limit some class:x 10 in_flight"));
            assertEquals("NAK 'ten' is not a number\n", rig.callAdmin("limit some all ten in_flight"));
            assertEquals(
                    "NAK 'most' is not all, class:NAME or tenant:NAME\n",
                    rig.callAdmin("limit some most 10 in_flight"));
            assertEquals("NAK 'a_day' is not per_second or in_flight\n", rig.callAdmin("limit some all 10 a_day"));
            assertEquals("NAK -1.0 is not a valid limit\n", rig.callAdmin("limit some all -1 in_flight"));
            assertEquals("NAK unknown command\n", rig.callAdmin("limit some all 10"));
        }
    }

    @Test
    void ordersReachTheModuleAndThoseOfAnOlderEpochAreRefused() throws Exception {
        try (DatagramSocket peer = socket();
                SidecarRig rig = rig("{\"members\":true,\"shared\":true}", peer)) {
            rig.addUpstream((m, line) -> {});
            rig.addUpstream((m, line) -> {});
            rig.start();
            assertEquals("ACK\n", rig.callAdmin("order r1 2 0 on 0.25 0.05 ids=u1"));
            assertEquals("weights {u1=0.25}", rig.awaitEvent("weights"));
            assertEquals("NAK epoch 2, step 0 is known\n", rig.callAdmin("order r1 1 9 on 1 0.05 ids=u1"));
            assertTrue(
                    rig.callAdmin("orders")
                            .startsWith(
                                    "ACK {\"self\":\"n0\",\"orders\":[{\"release\":\"r1\",\"epoch\":2,\"step\":0,"
                                            + "\"state\":\"on\",\"weight\":0.25,\"safe\":0.05,\"whom\":\"ids=u1\",\"servers\":1}],\"weights\":{\"u1\":0.25}}"));
            assertEquals("ACK\n", rig.callAdmin("order r1 2 1 done 1 0.05 ids=u1"));
            String last;
            do {
                last = rig.awaitEvent("weights");
            } while (last.contains("u1"));
            assertEquals("weights {}", last);
            assertTrue(rig.callAdmin("order r1 x 1 on 1 1 ids=u1").startsWith("NAK invalid order: "));
            assertTrue(rig.callAdmin("order r1 3 1 open 1 1 ids=u1").startsWith("NAK invalid order: "));
            assertTrue(rig.callAdmin("order r1 3 1 on 1 1 color=red").startsWith("NAK invalid order: 'color' is not"));
        }
    }

    @Test
    void aNewProcessStartsFromTheSnapshotOfThePreviousOne(@TempDir Path kept) throws Exception {
        Path directory = Files.createDirectories(kept.resolve("rushproxy-n0"));
        Files.write(
                directory.resolve("known.bin"),
                LearnedStateSnapshot.encode(new byte[] {4, 5}, System.currentTimeMillis() - 1_000));
        try (DatagramSocket peer = socket();
                SidecarRig rig = rig("{\"members\":true,\"shared\":true}", peer)) {
            rig.stateDirectory = kept;
            rig.start();
            assertEquals("know [4, 5]", rig.awaitEvent("know"));
            // The new process writes its own snapshot.
            byte[] before = Files.readAllBytes(directory.resolve("known.bin"));
            while (java.util.Arrays.equals(before, Files.readAllBytes(directory.resolve("known.bin")))) {
                Thread.sleep(20);
            }
            byte[] now = Files.readAllBytes(directory.resolve("known.bin"));
            assertEquals(3, now.length - 17);
        }
    }

    @Test
    void commandsAreRefusedIfTheFleetPlaneIsOff() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin().start()) {
            assertEquals("NAK fleet membership is off\n", rig.callAdmin("members"));
            assertEquals("NAK fleet sharing is off\n", rig.callAdmin("verdicts"));
            assertEquals("NAK fleet sharing is off\n", rig.callAdmin("limit some all 10 in_flight"));
        }
    }

    @Test
    void configurationErrorsNameTheField() {
        String rest =
                "\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":{\"generation\":1,\"reset\":true,"
                        + "\"instances\":[]},\"settings\":" + SidecarRig.SETTINGS + "}";
        assertTrue(assertThrows(
                        Config.InvalidConfigException.class,
                        () -> SidecarRig.parseConfig("{\"fleet\":{\"memberz\":true}," + rest))
                .getMessage()
                .contains("'fleet.memberz' is unknown"));
        assertTrue(assertThrows(
                        Config.InvalidConfigException.class,
                        () -> SidecarRig.parseConfig("{\"fleet\":{\"members\":true}," + rest))
                .getMessage()
                .contains("'fleet.members' needs 'peer_listen'"));
        for (String[] invalid : new String[][] {
            {"\"shared\":true", "'fleet.shared' needs 'fleet.members'"},
            {"\"limits\":[]", "'fleet.limits' needs 'fleet.shared'"}
        }) {
            assertTrue(
                    assertThrows(
                                    Config.InvalidConfigException.class,
                                    () -> SidecarRig.parseConfig("{\"fleet\":{" + invalid[0] + "}," + rest))
                            .getMessage()
                            .contains(invalid[1]),
                    invalid[1]);
        }
        String withLimits =
                "{\"peer_listen\":\"127.0.0.1:9\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:10\"],\"fleet\":{\"members\":true,"
                        + "\"shared\":true,\"limits\":[%s]}," + rest;
        for (String[] invalid : new String[][] {
            {"{\"per_second\":1}", "'name' is missing"},
            {"{\"name\":\"a\",\"per_second\":1,\"x\":1}", "'fleet.limits.x' is unknown"},
            {"{\"name\":\"a\"}", "'fleet.limits', 'a' wants 'per_second' or 'in_flight'"},
            {"{\"name\":\"a\",\"per_second\":1,\"class\":\"none\"}", "'fleet.limits', 'a': unknown class 'none'"},
            {"{\"name\":\"a\",\"per_second\":1},{\"name\":\"a\",\"per_second\":2}", "names 'a' twice"},
            {"{\"name\":\"a b\",\"per_second\":1}", "'a b' is not a name"}
        }) {
            assertTrue(
                    assertThrows(
                                    Config.InvalidConfigException.class,
                                    () -> SidecarRig.parseConfig(withLimits.formatted(invalid[0])))
                            .getMessage()
                            .contains(invalid[1]),
                    invalid[1]);
        }
    }
}
