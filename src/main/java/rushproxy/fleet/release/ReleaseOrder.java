package rushproxy.fleet.release;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import rushproxy.Balancer.Upstream;

/**
 * What a release's controller orders of all sidecars at one step. Of two for the same release the one of the later epoch holds, then the one
 * of the later step: a controller that has been superseded orders nothing any more.
 *
 * @param release name, 24 letters, digits, '.', '_' and '-' at most
 * @param epoch   of the controller, 1 to 2^31 - 1
 * @param step    of its plan, from 0
 * @param weight  part of their shares that the new servers get, 0 to 1
 * @param safe    the same for a sidecar that has heard nobody for longer than {@link ReleaseOrders#ISOLATION_TIMEOUT_US}
 * @param whom    the new servers
 */
public record ReleaseOrder(
        String release, int epoch, int step, State state, double weight, double safeWeight, Selector selector) {
    /** How far a release is. */
    public enum State {
        ON,
        HALTED,
        BACK,
        DONE
    }

    /** Which servers are the release's: by one of these, or all of those that are not null. Ids alone, or the others together. */
    public record Selector(List<String> ids, String kind, String zone, Integer pod, Long startedAfterMs) {
        /** Throws with what is wrong: words like {@code kind=K,zone=Z,pod=3,started-after=MS} or {@code ids=a+b+c}. */
        public static Selector parse(String words) {
            List<String> ids = null;
            String kind = null;
            String zone = null;
            Integer pod = null;
            Long after = null;
            for (String word : words.split(",", -1)) {
                int eq = word.indexOf('=');
                String name = eq < 0 ? word : word.substring(0, eq);
                String value = eq < 0 ? "" : word.substring(eq + 1);
                if (value.isEmpty()) {
                    throw new IllegalArgumentException("'" + word + "' is no NAME=VALUE");
                }
                try {
                    switch (name) {
                        case "ids" -> ids = List.of(value.split("\\+"));
                        case "kind" -> kind = value;
                        case "zone" -> zone = value;
                        case "pod" -> pod = Integer.valueOf(value);
                        case "started-after" -> after = Long.valueOf(value);
                        default ->
                            throw new IllegalArgumentException(
                                    "'" + name + "' is not ids, kind, zone, pod or started-after");
                    }
                } catch (NumberFormatException e) {
                    throw new IllegalArgumentException("'" + word + "': no whole number");
                }
            }
            if (ids != null && (kind != null || zone != null || pod != null || after != null)) {
                throw new IllegalArgumentException("'" + words + "': ids go with nothing else");
            }
            return new Selector(ids, kind, zone, pod, after);
        }

        public boolean matches(Upstream u) {
            if (ids != null) {
                return ids.contains(u.id());
            }
            return (kind == null || kind.equals(u.kind()))
                    && (zone == null || zone.equals(u.zone()))
                    && (pod == null || pod == u.cell())
                    && (startedAfterMs == null || u.startedUs() / 1_000 > startedAfterMs);
        }

        public String expression() {
            if (ids != null) {
                return "ids=" + String.join("+", ids);
            }
            StringBuilder words = new StringBuilder();
            add(words, "kind", kind);
            add(words, "zone", zone);
            add(words, "pod", pod);
            add(words, "started-after", startedAfterMs);
            return words.toString();
        }

        private static void add(StringBuilder words, String name, Object value) {
            if (value != null) {
                words.append(words.isEmpty() ? "" : ",")
                        .append(name)
                        .append('=')
                        .append(value);
            }
        }
    }

    private static final int HEAD = 14;
    private static final int MOST = 96;
    private static final double UNIT = 10_000;

    public ReleaseOrder {
        Objects.requireNonNull(selector);
        if (!release.matches("[A-Za-z0-9._-]{1,24}")) {
            throw new IllegalArgumentException(
                    "'" + release + "' is no name of 1 to 24 letters, digits, '.', '_', '-'");
        }
        if (epoch <= 0 || step < 0 || !(weight >= 0 && weight <= 1) || !(safeWeight >= 0 && safeWeight <= 1)) {
            throw new IllegalArgumentException(String.format(
                    Locale.ROOT, "epoch %d, step %d, weights %s and %s: no order", epoch, step, weight, safeWeight));
        }
        int length = HEAD + (release + selector.expression()).getBytes(StandardCharsets.UTF_8).length;
        if (length > MOST) {
            throw new IllegalArgumentException(
                    "names take " + length + " bytes, " + MOST + " at most: select by kind, zone, pod or start");
        }
    }

    /** Eight bytes of rank, then the rest. */
    byte[] encode() {
        byte[] name = release.getBytes(StandardCharsets.UTF_8);
        byte[] words = selector.expression().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(HEAD + name.length + words.length)
                .putInt(epoch)
                .putInt(step)
                .put((byte) state.ordinal())
                .putShort((short) Math.round(weight * UNIT))
                .putShort((short) Math.round(safeWeight * UNIT))
                .put((byte) name.length)
                .put(name)
                .put(words)
                .array();
    }

    /** Null where the bytes are no order. */
    static ReleaseOrder decode(byte[] bytes) {
        try {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            int epoch = b.getInt();
            int step = b.getInt();
            State state = State.values()[b.get()];
            double weight = b.getShort() / UNIT;
            double safe = b.getShort() / UNIT;
            byte[] name = new byte[b.get()];
            b.get(name);
            byte[] words = new byte[b.remaining()];
            b.get(words);
            return new ReleaseOrder(
                    new String(name, StandardCharsets.UTF_8),
                    epoch,
                    step,
                    state,
                    weight,
                    safe,
                    Selector.parse(new String(words, StandardCharsets.UTF_8)));
        } catch (RuntimeException e) {
            // Whatever a peer sends: too short, out of bounds, no names.
            return null;
        }
    }
}
