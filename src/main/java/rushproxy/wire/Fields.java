package rushproxy.wire;

/** Reads one line of the wire field by field; {@code -} stands for an absent value. */
final class Fields {
    private final String line;
    private int position;

    Fields(String line) {
        this.line = line;
    }

    boolean hasMore() {
        return position <= line.length() && !line.isEmpty();
    }

    String nextText() {
        if (!hasMore()) {
            throw new WireException("too few fields in '" + abbreviatedLine() + "'");
        }
        int space = line.indexOf(' ', position);
        int end = space < 0 ? line.length() : space;
        String value = line.substring(position, end);
        position = end + 1;
        if (value.isEmpty()) {
            throw new WireException("empty field in '" + abbreviatedLine() + "'");
        }
        return value;
    }

    /** The next field, or null where it is absent or the line has ended. */
    String nextTextOrNull() {
        if (!hasMore()) {
            return null;
        }
        String value = nextText();
        return value.equals("-") ? null : value;
    }

    long nextLong() {
        return parseLong(nextText());
    }

    long nextLongOr(long absent) {
        String value = nextTextOrNull();
        return value == null ? absent : parseLong(value);
    }

    double nextDoubleOr(double absent) {
        String value = nextTextOrNull();
        return value == null ? absent : parseDouble(value);
    }

    boolean nextBoolean() {
        String value = nextTextOrNull();
        return value != null && (value.equals("1") || value.equals("true"));
    }

    private long parseLong(String value) {
        int n = value.length();
        long sum = 0;
        int i = n > 1 && value.charAt(0) == '-' ? 1 : 0;
        if (n - i > 18) {
            throw new WireException("'" + value + "' is no integer in '" + abbreviatedLine() + "'");
        }
        for (int j = i; j < n; j++) {
            char c = value.charAt(j);
            if (c < '0' || c > '9') {
                double d = parseDouble(value);
                if (d == Math.rint(d) && Math.abs(d) < 1e15) {
                    return (long) d;
                }
                throw new WireException("'" + value + "' is no integer in '" + abbreviatedLine() + "'");
            }
            sum = sum * 10 + (c - '0');
        }
        return i == 1 ? -sum : sum;
    }

    private double parseDouble(String value) {
        try {
            double d = Double.parseDouble(value);
            if (Double.isFinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new WireException("'" + value + "' is no number in '" + abbreviatedLine() + "'");
    }

    private String abbreviatedLine() {
        return line.length() > 120 ? line.substring(0, 120) + "..." : line;
    }
}
