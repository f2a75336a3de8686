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

/** A start that asks those who are here what they know. */
class WarmStartTest {
    private static final long START_US = 1_700_000_000_000_000L;
    private static final long LONG_UPTIME_US = 60_000_000;

    private record Sent(int peerIndex, byte[] datagram) {}

    /** Six places; who is asked is drawn by the store's own random source. */
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

    /** What one that knows this much for so long answers to all that was sent. */
    private List<byte[]> answersOf(long sinceUs, byte[] knows, int place) {
        FakePeers out = new FakePeers();
        WarmStart old = new WarmStart(100 + place, 2, -1, START_US - sinceUs, 6, out, out, () -> knows);
        peers.sent.stream()
                .filter(s -> s.peerIndex == place)
                .limit(1)
                .forEach(s -> old.onMessage(START_US, 0, Envelope.parse(s.datagram), 7));
        return out.sent.stream().map(Sent::datagram).toList();
    }

    private static byte[] state(int length, int fill) {
        byte[] b = new byte[length];
        java.util.Arrays.fill(b, (byte) fill);
        return b;
    }

    @Test
    void finishesWithThreeMultiDatagramAnswers() {
        WarmStart w = newWarmStart();
        w.onTick(START_US, 1);
        int told = 0;
        for (int place = 1; place <= 6; place++) {
            List<byte[]> parts = new ArrayList<>(answersOf(LONG_UPTIME_US, state(450, place), place));
            java.util.Collections.reverse(parts);
            for (byte[] part : parts) {
                w.onMessage(START_US + 1_000, place, Envelope.parse(part), 1);
                w.onMessage(START_US + 1_000, place, Envelope.parse(part), 1);
            }
            told += parts.isEmpty() ? 0 : 1;
        }
        w.onTick(START_US + 2_000, 1);
        assertEquals(told >= 3, w.isFinished());
        assertTrue(told >= 3, "the seed asks three at least at once");
        List<byte[]> all = w.takeAnswers();
        assertEquals(told, all.size());
        all.forEach(k -> assertArrayEquals(state(450, k[0]), k));
        assertTrue(w.takeAnswers().isEmpty());
    }

    @Test
    void retriesUntilTheTimeLimit() {
        WarmStart w = newWarmStart();
        for (long us = 0; us < WarmStart.MAX_WAIT_US; us += 100_000) {
            w.onTick(START_US + us, 1);
            assertFalse(w.isFinished());
        }
        assertEquals(36, peers.sent.size());
        w.onTick(START_US + WarmStart.MAX_WAIT_US, 1);
        assertTrue(w.isFinished() && w.takeAnswers().isEmpty());
        peers.otherPeers = 0;
        WarmStart alone = newWarmStart();
        alone.onTick(START_US, 1);
        alone.onTick(START_US + WarmStart.MAX_WAIT_US, 1);
        assertTrue(alone.isFinished());
        assertEquals(36, peers.sent.size());
    }

    @Test
    void recentlyStartedPeerDoesNotAnswer() {
        WarmStart w = newWarmStart();
        w.onTick(START_US, 1);
        int place = peers.sent.get(0).peerIndex;
        assertTrue(answersOf(5_000_000, state(10, 1), place).isEmpty());
        assertEquals(1, answersOf(LONG_UPTIME_US, state(10, 1), place).size());
        assertTrue(answersOf(LONG_UPTIME_US, state(5_000, 1), place).isEmpty(), "more than fits");
    }

    @Test
    void invalidChunksAreIgnored() {
        WarmStart w = newWarmStart();
        w.onTick(START_US, 1);
        for (byte[] section : new byte[][] {{0, 0, 1}, {3, 2, 1}, {-1, 2, 1}, {0, 99, 1}, {0}}) {
            w.onMessage(
                    START_US,
                    1,
                    Envelope.parse(Envelope.from(9, 1)
                            .addSection(41, java.nio.ByteBuffer.allocate(8).put(section))
                            .toBytes(-1)),
                    1);
        }
        assertTrue(w.takeAnswers().isEmpty());
    }
}
