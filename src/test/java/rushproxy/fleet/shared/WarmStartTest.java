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
    private static final long T = 1_700_000_000_000_000L;
    private static final long OLD = 60_000_000;

    private record Sent(int to, byte[] bytes) {}

    /** Six places; who is asked is drawn by the store's own random source. */
    private static final class Net implements Environment, PeerDirectory {
        private final List<Sent> sent = new ArrayList<>();
        private int others = 6;

        @Override
        public void send(int peer, byte[] datagram) {
            assertTrue(datagram.length <= Envelope.MAX_BYTES);
            sent.add(new Sent(peer, datagram));
        }

        @Override
        public void logEvent(String event) {}

        @Override
        public int size() {
            return others + 1;
        }

        @Override
        public int randomPeer(int part, SplittableRandom random) {
            return others == 0 ? -1 : 1 + random.nextInt(others);
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

    private final Net net = new Net();

    private WarmStart fresh() {
        return new WarmStart(1, 2, -1, T, 5, net, net, () -> new byte[0]);
    }

    /** What one that knows this much for so long answers to all that was sent. */
    private List<byte[]> answers(long sinceUs, byte[] knows, int place) {
        Net out = new Net();
        WarmStart old = new WarmStart(100 + place, 2, -1, T - sinceUs, 6, out, out, () -> knows);
        net.sent.stream()
                .filter(s -> s.to == place)
                .limit(1)
                .forEach(s -> old.onMessage(T, 0, Envelope.parse(s.bytes), 7));
        return out.sent.stream().map(Sent::bytes).toList();
    }

    private static byte[] known(int length, int fill) {
        byte[] b = new byte[length];
        java.util.Arrays.fill(b, (byte) fill);
        return b;
    }

    @Test
    void endsWithThreeAnswersHoweverManyDatagramsEachTakes() {
        WarmStart w = fresh();
        w.onTick(T, 1);
        int told = 0;
        for (int place = 1; place <= 6; place++) {
            List<byte[]> parts = new ArrayList<>(answers(OLD, known(450, place), place));
            java.util.Collections.reverse(parts);
            for (byte[] part : parts) {
                w.onMessage(T + 1_000, place, Envelope.parse(part), 1);
                w.onMessage(T + 1_000, place, Envelope.parse(part), 1);
            }
            told += parts.isEmpty() ? 0 : 1;
        }
        w.onTick(T + 2_000, 1);
        assertEquals(told >= 3, w.isFinished());
        assertTrue(told >= 3, "the seed asks three at least at once");
        List<byte[]> all = w.takeAnswers();
        assertEquals(told, all.size());
        all.forEach(k -> assertArrayEquals(known(450, k[0]), k));
        assertTrue(w.takeAnswers().isEmpty());
    }

    @Test
    void asksAgainAndEndsWithItsTimeWhereNobodyAnswers() {
        WarmStart w = fresh();
        for (long us = 0; us < WarmStart.MAX_WAIT_US; us += 100_000) {
            w.onTick(T + us, 1);
            assertFalse(w.isFinished());
        }
        assertEquals(36, net.sent.size());
        w.onTick(T + WarmStart.MAX_WAIT_US, 1);
        assertTrue(w.isFinished() && w.takeAnswers().isEmpty());
        net.others = 0;
        WarmStart alone = fresh();
        alone.onTick(T, 1);
        alone.onTick(T + WarmStart.MAX_WAIT_US, 1);
        assertTrue(alone.isFinished());
        assertEquals(36, net.sent.size());
    }

    @Test
    void whoHasJustStartedItselfGivesNoAnswer() {
        WarmStart w = fresh();
        w.onTick(T, 1);
        int place = net.sent.get(0).to;
        assertTrue(answers(5_000_000, known(10, 1), place).isEmpty());
        assertEquals(1, answers(OLD, known(10, 1), place).size());
        assertTrue(answers(OLD, known(5_000, 1), place).isEmpty(), "more than fits");
    }

    @Test
    void partsThatCantBeAreLeftOut() {
        WarmStart w = fresh();
        w.onTick(T, 1);
        for (byte[] section : new byte[][] {{0, 0, 1}, {3, 2, 1}, {-1, 2, 1}, {0, 99, 1}, {0}}) {
            w.onMessage(
                    T,
                    1,
                    Envelope.parse(Envelope.from(9, 1)
                            .addSection(41, java.nio.ByteBuffer.allocate(8).put(section))
                            .toBytes(-1)),
                    1);
        }
        assertTrue(w.takeAnswers().isEmpty());
    }
}
