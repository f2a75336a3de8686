package rushproxy.fleet.shared;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;

/** Transfer of learned state from live members to a process that starts. */
class WarmStartTest {
    private static final long START_US = 1_700_000_000_000_000L;
    private static final long LONG_UPTIME_US = 60_000_000;
    /** Section type of state chunks. */
    private static final int STATE_CHUNK = 41;

    private record Sent(int peerIndex, byte[] datagram) {}

    /** Six peers, drawn by the random source of the component. */
    private static final class FakePeers implements Environment, PeerDirectory {
        private final List<Sent> sent = new ArrayList<>();
        private int otherPeers = 6;

        @Override
        public void send(int peer, byte[] datagram) {
            assertTrue(datagram.length <= Envelope.MAX_BYTES);
            sent.add(new Sent(peer, datagram));
        }

        @Override
        public void logEvent(String event) {}

        @Override
        public int size() {
            return otherPeers + 1;
        }

        @Override
        public int randomPeer(int part, SplittableRandom random) {
            return otherPeers == 0 ? -1 : 1 + random.nextInt(otherPeers);
        }

        @Override
        public boolean isLive(long member) {
            return true;
        }

        @Override
        public String nameOf(long member) {
            return "" + member;
        }
    }

    private final FakePeers peers = new FakePeers();

    private WarmStart newWarmStart() {
        return new WarmStart(1, 2, -1, START_US, 5, peers, peers, () -> new byte[0]);
    }

    /** Answers of a peer with this uptime and state to the first request that was sent to it. */
    private List<byte[]> answersOf(long uptimeUs, byte[] state, int peerIndex) {
        FakePeers answered = new FakePeers();
        WarmStart peer = new WarmStart(100 + peerIndex, 2, -1, START_US - uptimeUs, 6, answered, answered, () -> state);
        peers.sent.stream()
                .filter(s -> s.peerIndex == peerIndex)
                .limit(1)
                .forEach(s -> peer.onMessage(START_US, 0, Envelope.parse(s.datagram), 7));
        return answered.sent.stream().map(Sent::datagram).toList();
    }

    private static byte[] state(int length, int fill) {
        byte[] b = new byte[length];
        java.util.Arrays.fill(b, (byte) fill);
        return b;
    }

    @Test
    void finishesWithThreeMultiDatagramAnswers() {
        WarmStart warmStart = newWarmStart();
        warmStart.onTick(START_US, 1);
        int answers = 0;
        for (int peerIndex = 1; peerIndex <= 6; peerIndex++) {
            List<byte[]> chunks = new ArrayList<>(answersOf(LONG_UPTIME_US, state(450, peerIndex), peerIndex));
            java.util.Collections.reverse(chunks);
            for (byte[] chunk : chunks) {
                warmStart.onMessage(START_US + 1_000, peerIndex, Envelope.parse(chunk), 1);
                warmStart.onMessage(START_US + 1_000, peerIndex, Envelope.parse(chunk), 1);
            }
            answers += chunks.isEmpty() ? 0 : 1;
        }
        warmStart.onTick(START_US + 2_000, 1);
        assertEquals(answers >= 3, warmStart.isFinished());
        assertTrue(answers >= 3, "the seed must send requests to at least three peers");
        List<byte[]> states = warmStart.takeAnswers();
        assertEquals(answers, states.size());
        states.forEach(k -> assertArrayEquals(state(450, k[0]), k));
        assertTrue(warmStart.takeAnswers().isEmpty());
    }

    @Test
    void retriesUntilTheTimeLimit() {
        WarmStart warmStart = newWarmStart();
        for (long us = 0; us < WarmStart.MAX_WAIT_US; us += 100_000) {
            warmStart.onTick(START_US + us, 1);
            assertFalse(warmStart.isFinished());
        }
        assertEquals(36, peers.sent.size());
        warmStart.onTick(START_US + WarmStart.MAX_WAIT_US, 1);
        assertTrue(warmStart.isFinished() && warmStart.takeAnswers().isEmpty());
        peers.otherPeers = 0;
        WarmStart alone = newWarmStart();
        alone.onTick(START_US, 1);
        alone.onTick(START_US + WarmStart.MAX_WAIT_US, 1);
        assertTrue(alone.isFinished());
        assertEquals(36, peers.sent.size());
    }

    @Test
    void recentlyStartedPeerDoesNotAnswer() {
        WarmStart warmStart = newWarmStart();
        warmStart.onTick(START_US, 1);
        int peerIndex = peers.sent.get(0).peerIndex;
        assertTrue(answersOf(5_000_000, state(10, 1), peerIndex).isEmpty());
        assertEquals(1, answersOf(LONG_UPTIME_US, state(10, 1), peerIndex).size());
        assertTrue(
                answersOf(LONG_UPTIME_US, state(5_000, 1), peerIndex).isEmpty(),
                "a state that is too large is not sent");
    }

    @Test
    void invalidChunksAreIgnored() {
        WarmStart warmStart = newWarmStart();
        warmStart.onTick(START_US, 1);
        for (byte[] section : new byte[][] {{0, 0, 1}, {3, 2, 1}, {-1, 2, 1}, {0, 99, 1}, {0}}) {
            warmStart.onMessage(
                    START_US,
                    1,
                    Envelope.parse(Envelope.from(9, 1)
                            .addSection(
                                    STATE_CHUNK, java.nio.ByteBuffer.allocate(8).put(section))
                            .toBytes(-1)),
                    1);
        }
        assertTrue(warmStart.takeAnswers().isEmpty());
    }
}
