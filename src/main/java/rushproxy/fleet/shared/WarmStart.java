package rushproxy.fleet.shared;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;

/**
 * A process that has just started asks three of those who are here for what they know, and ends with it, or with its time: no answer
 * is an ordinary start. Who has started of late itself gives none. What the bytes mean is their user's. Without I/O; one thread.
 */
public final class WarmStart {
    /** From the start on; a start takes longer for other reasons. */
    public static final long MAX_WAIT_US = 600_000;
    /** Others' middle is wanted, so that one alone can't mislead. */
    private static final int ANSWERS = 3;

    private static final int ASKED = 6;
    private static final long AGAIN_US = 100_000;
    /** Who knows for less than this knows next to nothing. */
    private static final long KNOWS_US = 10_000_000;

    private static final int PART = 200;
    private static final int PARTS = 8;

    private static final int ASK = 40;
    private static final int TELL = 41;

    private final long me;
    private final int part;
    private final int taken;
    private final PeerDirectory group;
    private final Environment host;
    private final SplittableRandom random;
    private final Supplier<byte[]> known;
    private final long startUs;
    /** By the place that tells, its parts; complete ones go to {@code answers}. */
    private final Map<Integer, byte[][]> coming = new LinkedHashMap<>();

    private final Map<Integer, byte[]> answers = new LinkedHashMap<>();
    private long askUs;
    private boolean over;

    /** {@code known} gives what this process knows at the time of the call. */
    public WarmStart(
            long me,
            int part,
            int taken,
            long nowUs,
            long seed,
            PeerDirectory group,
            Environment host,
            Supplier<byte[]> known) {
        this.me = me;
        this.part = part;
        this.taken = taken;
        this.group = group;
        this.host = host;
        this.known = known;
        startUs = nowUs;
        askUs = nowUs;
        random = new SplittableRandom(seed);
    }

    /** No more is waited for: three have told, or the time is up. */
    public boolean isFinished() {
        return over;
    }

    /** What was told, each by another; none after the first call that follows {@link #isFinished}. */
    public List<byte[]> takeAnswers() {
        List<byte[]> all = new ArrayList<>(answers.values());
        answers.clear();
        return all;
    }

    public void onTick(long nowUs, long incarnation) {
        if (over) {
            return;
        }
        over = answers.size() >= ANSWERS || nowUs - startUs >= MAX_WAIT_US;
        if (!over && nowUs >= askUs) {
            askUs = nowUs + AGAIN_US;
            for (int i = answers.size(); i < ASKED; i++) {
                int place = group.randomPeer(part, random);
                if (place >= 0 && !answers.containsKey(place)) {
                    host.send(
                            place,
                            Envelope.from(me, incarnation)
                                    .addSection(ASK, ByteBuffer.allocate(1).put((byte) 1))
                                    .toBytes(taken));
                }
            }
        }
    }

    /** From the member at this place of the list. */
    public void onMessage(long nowUs, int from, Envelope.Message letter, long incarnation) {
        for (Envelope.Section s : letter.sections()) {
            if (s.type() == ASK && nowUs - startUs >= KNOWS_US) {
                tell(from, incarnation);
            } else if (s.type() == TELL && !over && s.bytes().length > 2) {
                told(from, s.bytes());
            }
        }
    }

    private void tell(int to, long incarnation) {
        byte[] all = known.get();
        int parts = (all.length + PART - 1) / PART;
        if (parts > PARTS) {
            return;
        }
        for (int i = 0; i < parts; i++) {
            int length = Math.min(PART, all.length - i * PART);
            ByteBuffer b = ByteBuffer.allocate(2 + length)
                    .put((byte) i)
                    .put((byte) parts)
                    .put(all, i * PART, length);
            host.send(to, Envelope.from(me, incarnation).addSection(TELL, b).toBytes(taken));
        }
    }

    private void told(int from, byte[] bytes) {
        int number = bytes[0];
        int parts = bytes[1];
        if (parts <= 0 || parts > PARTS || number < 0 || number >= parts) {
            return;
        }
        byte[][] of = coming.computeIfAbsent(from, f -> new byte[parts][]);
        if (of.length != parts) {
            return;
        }
        of[number] = java.util.Arrays.copyOfRange(bytes, 2, bytes.length);
        int length = 0;
        for (byte[] p : of) {
            if (p == null) {
                return;
            }
            length += p.length;
        }
        ByteBuffer whole = ByteBuffer.allocate(length);
        for (byte[] p : of) {
            whole.put(p);
        }
        answers.put(from, whole.array());
    }
}
