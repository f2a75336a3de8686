package rushproxy.wire;

/** Reads the space-separated fields of one protocol line; {@code -} stands for an absent value. */
final class Fields {
    /** Any number of this many digits fits into a long. */
    private static final int MAX_LONG_DIGITS = 18;
    /** All integers below this are exact doubles. */
    private static final double MAX_EXACT_DOUBLE = 1e15;
    /** Length to which lines are cut in error messages. */
    private static final int MAX_SHOWN_CHARS = 120;

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

    /** The next field, or null if it is absent or the line has ended. */
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

    /** Parses decimal integers without allocation; other notations of an integer, such as 1e6, as a double. */
    private long parseLong(String value) {
        int length = value.length();
        long result = 0;
        int start = length > 1 && value.charAt(0) == '-' ? 1 : 0;
        if (length - start > MAX_LONG_DIGITS) {
            throw new WireException("'" + value + "' is not an integer in '" + abbreviatedLine() + "'");
        }
        for (int i = start; i < length; i++) {
            char c = value.charAt(i);
            if (c < '0' || c > '9') {
                double number = parseDouble(value);
                if (number == Math.rint(number) && Math.abs(number) < MAX_EXACT_DOUBLE) {
                    return (long) number;
                }
                throw new WireException("'" + value + "' is not an integer in '" + abbreviatedLine() + "'");
            }
            result = result * 10 + (c - '0');
        }
        return start == 1 ? -result : result;
    }

    private double parseDouble(String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, like infinities and NaN
        }
        throw new WireException("'" + value + "' is not a number in '" + abbreviatedLine() + "'");
    }

    private String abbreviatedLine() {
        return line.length() > MAX_SHOWN_CHARS ? line.substring(0, MAX_SHOWN_CHARS) + "..." : line;
    }
}
