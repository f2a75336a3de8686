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
 * Transfers learned state to a process that has just started. It requests the state of several live members and finishes with
 * three answers or at the time limit; without answers the process starts cold. Members that started recently don't answer. The
 * content of the state is opaque. Performs no I/O. Not thread-safe.
 */
public final class WarmStart {
    /** Time limit, counted from the start; shorter than the rest of a process start, so that it causes no delay. */
    public static final long MAX_WAIT_US = 600_000;
    /** Answers needed for a median, so that a single wrong one has no effect. */
    private static final int WANTED_ANSWERS = 3;

    private static final int REQUEST_FANOUT = 6;
    private static final long RETRY_INTERVAL_US = 100_000;
    /** A member with a shorter uptime has learned too little to answer. */
    private static final long MIN_UPTIME_US = 10_000_000;

    private static final int CHUNK_BYTES = 200;
    private static final int MAX_CHUNKS = 8;

    private static final int STATE_REQUEST = 40;
    private static final int STATE_CHUNK = 41;

    private final long selfId;
    private final int feature;
    private final int reservedLength;
    private final PeerDirectory peers;
    private final Environment environment;
    private final SplittableRandom random;
    private final Supplier<byte[]> localState;
    private final long startUs;
    /** Received chunks by the sender's peer index; complete states go to {@code answers}. */
    private final Map<Integer, byte[][]> incoming = new LinkedHashMap<>();

    private final Map<Integer, byte[]> answers = new LinkedHashMap<>();
    private long nextRequestUs;
    private boolean finished;

    /** {@code localState} returns this process's current state, for requests of other members. */
    public WarmStart(
            long selfId,
            int feature,
            int reservedLength,
            long nowUs,
            long seed,
            PeerDirectory peers,
            Environment environment,
            Supplier<byte[]> localState) {
        this.selfId = selfId;
        this.feature = feature;
        this.reservedLength = reservedLength;
        this.peers = peers;
        this.environment = environment;
        this.localState = localState;
        startUs = nowUs;
        nextRequestUs = nowUs;
        random = new SplittableRandom(seed);
    }

    /** Whether enough answers have arrived or the time limit is reached. */
    public boolean isFinished() {
        return finished;
    }

    /** Removes and returns the received states, each from a different member. */
    public List<byte[]> takeAnswers() {
        List<byte[]> taken = new ArrayList<>(answers.values());
        answers.clear();
        return taken;
    }

    public void onTick(long nowUs, long incarnation) {
        if (finished) {
            return;
        }
        finished = answers.size() >= WANTED_ANSWERS || nowUs - startUs >= MAX_WAIT_US;
        if (!finished && nowUs >= nextRequestUs) {
            nextRequestUs = nowUs + RETRY_INTERVAL_US;
            for (int i = answers.size(); i < REQUEST_FANOUT; i++) {
                int peerIndex = peers.randomPeer(feature, random);
                if (peerIndex >= 0 && !answers.containsKey(peerIndex)) {
                    environment.send(
                            peerIndex,
                            Envelope.from(selfId, incarnation)
                                    .addSection(
                                            STATE_REQUEST,
                                            ByteBuffer.allocate(1).put((byte) 1))
                                    .toBytes(reservedLength));
                }
            }
        }
    }

    /** Handles a message of the member at this peer index. */
    public void onMessage(long nowUs, int peerIndex, Envelope.Message message, long incarnation) {
        for (Envelope.Section section : message.sections()) {
            if (section.type() == STATE_REQUEST && nowUs - startUs >= MIN_UPTIME_US) {
                sendState(peerIndex, incarnation);
            } else if (section.type() == STATE_CHUNK && !finished && section.bytes().length > 2) {
                onChunk(peerIndex, section.bytes());
            }
        }
    }

    private void sendState(int peerIndex, long incarnation) {
        byte[] state = localState.get();
        int chunks = (state.length + CHUNK_BYTES - 1) / CHUNK_BYTES;
        if (chunks > MAX_CHUNKS) {
            return;
        }
        for (int i = 0; i < chunks; i++) {
            int length = Math.min(CHUNK_BYTES, state.length - i * CHUNK_BYTES);
            ByteBuffer b = ByteBuffer.allocate(2 + length)
                    .put((byte) i)
                    .put((byte) chunks)
                    .put(state, i * CHUNK_BYTES, length);
            environment.send(
                    peerIndex,
                    Envelope.from(selfId, incarnation)
                            .addSection(STATE_CHUNK, b)
                            .toBytes(reservedLength));
        }
    }

    private void onChunk(int peerIndex, byte[] bytes) {
        int index = bytes[0];
        int chunkCount = bytes[1];
        if (chunkCount <= 0 || chunkCount > MAX_CHUNKS || index < 0 || index >= chunkCount) {
            return;
        }
        byte[][] chunks = incoming.computeIfAbsent(peerIndex, f -> new byte[chunkCount][]);
        if (chunks.length != chunkCount) {
            return;
        }
        chunks[index] = java.util.Arrays.copyOfRange(bytes, 2, bytes.length);
        int length = 0;
        for (byte[] chunk : chunks) {
            if (chunk == null) {
                return;
            }
            length += chunk.length;
        }
        ByteBuffer whole = ByteBuffer.allocate(length);
        for (byte[] chunk : chunks) {
            whole.put(chunk);
        }
        answers.put(peerIndex, whole.array());
    }
}
