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
        public static Selector parse(String expression) {
            List<String> ids = null;
            String kind = null;
            String zone = null;
            Integer pod = null;
            Long startedAfterMs = null;
            for (String term : expression.split(",", -1)) {
                int eq = term.indexOf('=');
                String name = eq < 0 ? term : term.substring(0, eq);
                String value = eq < 0 ? "" : term.substring(eq + 1);
                if (value.isEmpty()) {
                    throw new IllegalArgumentException("'" + term + "' is no NAME=VALUE");
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
                    throw new IllegalArgumentException("'" + term + "': no whole number");
                }
            }
            if (ids != null && (kind != null || zone != null || pod != null || startedAfterMs != null)) {
                throw new IllegalArgumentException("'" + expression + "': ids go with nothing else");
            }
            return new Selector(ids, kind, zone, pod, startedAfterMs);
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
                    Locale.ROOT, "epoch %d, step %d, weights %s and %s: no order", epoch, step, weight, safeWeight));
        }
        int length = HEADER_BYTES + (release + selector.expression()).getBytes(StandardCharsets.UTF_8).length;
        if (length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "names take " + length + " bytes, " + MAX_BYTES + " at most: select by kind, zone, pod or start");
        }
    }

    /** Eight bytes of rank, then the rest. */
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

    /** Null where the bytes are no order. */
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
            // Whatever a peer sends: too short, out of bounds, no names.
            return null;
        }
    }
}
