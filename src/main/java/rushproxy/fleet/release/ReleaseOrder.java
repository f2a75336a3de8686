package rushproxy.fleet.release;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import rushproxy.Balancer.Upstream;

/**
 * Order of a release's controller to all sidecars at one step. Of two orders for the same release the one with the later epoch applies,
 * and within an epoch the one with the later step, so that a superseded controller has no effect.
 *
 * @param release    name of at most 24 letters, digits, '.', '_' and '-'
 * @param epoch      epoch of the controller, 1 to 2^31 - 1, used as a fencing token
 * @param step       step of the controller, from 0
 * @param state      state of the release
 * @param weight     fraction of their shares that the new servers get, 0 to 1
 * @param safeWeight the same at a sidecar that has been isolated for longer than {@link ReleaseOrders#ISOLATION_TIMEOUT_US}
 * @param selector   selects the new servers
 */
public record ReleaseOrder(
        String release, int epoch, int step, State state, double weight, double safeWeight, Selector selector) {
    /** State of a release: proceeding, halted, rolling back or complete. */
    public enum State {
        ON,
        HALTED,
        BACK,
        DONE
    }

    /** Selects a release's servers, either by ids alone or by all of the other fields that are not null. */
    public record Selector(List<String> ids, String kind, String zone, Integer pod, Long startedAfterMs) {
        /** Parses expressions like {@code kind=K,zone=Z,pod=3,started-after=MS} or {@code ids=a+b+c}; throws with the mistake. */
        public static Selector parse(String expression) {
            List<String> ids = null;
            String kind = null;
            String zone = null;
            Integer pod = null;
            Long startedAfterMs = null;
            for (String term : expression.split(",", -1)) {
                int separator = term.indexOf('=');
                String name = separator < 0 ? term : term.substring(0, separator);
                String value = separator < 0 ? "" : term.substring(separator + 1);
                if (value.isEmpty()) {
                    throw new IllegalArgumentException("'" + term + "' is not NAME=VALUE");
                }
                try {
                    switch (name) {
                        case "ids" -> ids = List.of(value.split("\\+"));
                        case "kind" -> kind = value;
                        case "zone" -> zone = value;
                        case "pod" -> pod = Integer.valueOf(value);
                        case "started-after" -> startedAfterMs = Long.valueOf(value);
                        default ->
                            throw new IllegalArgumentException(
                                    "'" + name + "' is not ids, kind, zone, pod or started-after");
                    }
                } catch (NumberFormatException e) {
                    throw new IllegalArgumentException("'" + term + "': not a whole number");
                }
            }
            if (ids != null && (kind != null || zone != null || pod != null || startedAfterMs != null)) {
                throw new IllegalArgumentException("'" + expression + "': ids can't be combined with other terms");
            }
            return new Selector(ids, kind, zone, pod, startedAfterMs);
        }

        public boolean matches(Upstream server) {
            if (ids != null) {
                return ids.contains(server.id());
            }
            return (kind == null || kind.equals(server.kind()))
                    && (zone == null || zone.equals(server.zone()))
                    && (pod == null || pod == server.cell())
                    && (startedAfterMs == null || server.startedUs() / 1_000 > startedAfterMs);
        }

        public String expression() {
            if (ids != null) {
                return "ids=" + String.join("+", ids);
            }
            StringBuilder expression = new StringBuilder();
            appendTerm(expression, "kind", kind);
            appendTerm(expression, "zone", zone);
            appendTerm(expression, "pod", pod);
            appendTerm(expression, "started-after", startedAfterMs);
            return expression.toString();
        }

        private static void appendTerm(StringBuilder expression, String name, Object value) {
            if (value != null) {
                expression
                        .append(expression.isEmpty() ? "" : ",")
                        .append(name)
                        .append('=')
                        .append(value);
            }
        }
    }

    private static final int HEADER_BYTES = 14;
    private static final int MAX_BYTES = 96;
    private static final double WEIGHT_SCALE = 10_000;

    public ReleaseOrder {
        Objects.requireNonNull(selector);
        if (!release.matches("[A-Za-z0-9._-]{1,24}")) {
            throw new IllegalArgumentException(
                    "'" + release + "' is no name of 1 to 24 letters, digits, '.', '_', '-'");
        }
        if (epoch <= 0 || step < 0 || !(weight >= 0 && weight <= 1) || !(safeWeight >= 0 && safeWeight <= 1)) {
            throw new IllegalArgumentException(String.format(
                    Locale.ROOT,
                    "epoch %d, step %d, weights %s and %s: out of range",
                    epoch,
                    step,
                    weight,
                    safeWeight));
        }
        int length = HEADER_BYTES + (release + selector.expression()).getBytes(StandardCharsets.UTF_8).length;
        if (length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "names take " + length + " bytes, " + MAX_BYTES + " at most: select by kind, zone, pod or start");
        }
    }

    /** Encodes the order for the store. Epoch and step come first, as the eight bytes of its rank. */
    byte[] encode() {
        byte[] name = release.getBytes(StandardCharsets.UTF_8);
        byte[] expression = selector.expression().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(HEADER_BYTES + name.length + expression.length)
                .putInt(epoch)
                .putInt(step)
                .put((byte) state.ordinal())
                .putShort((short) Math.round(weight * WEIGHT_SCALE))
                .putShort((short) Math.round(safeWeight * WEIGHT_SCALE))
                .put((byte) name.length)
                .put(name)
                .put(expression)
                .array();
    }

    /** Null if the bytes don't encode an order. */
    static ReleaseOrder decode(byte[] bytes) {
        try {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            int epoch = b.getInt();
            int step = b.getInt();
            State state = State.values()[b.get()];
            double weight = b.getShort() / WEIGHT_SCALE;
            double safeWeight = b.getShort() / WEIGHT_SCALE;
            byte[] name = new byte[b.get()];
            b.get(name);
            byte[] expression = new byte[b.remaining()];
            b.get(expression);
            return new ReleaseOrder(
                    new String(name, StandardCharsets.UTF_8),
                    epoch,
                    step,
                    state,
                    weight,
                    safeWeight,
                    Selector.parse(new String(expression, StandardCharsets.UTF_8)));
        } catch (RuntimeException e) {
            // Bytes from a peer may be too short, out of range or have invalid names.
            return null;
        }
    }
}
