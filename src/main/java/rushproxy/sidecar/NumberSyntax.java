package rushproxy.sidecar;

/** Checks the syntax of numbers in headers. Avoids regular expressions, as this runs several times for each request. */
final class NumberSyntax {
    private NumberSyntax() {}

    /** Whether the text consists of 1 to {@code maxDigits} decimal digits. */
    static boolean isDecimal(String text, int maxDigits) {
        return consistsOf(text, maxDigits, NumberSyntax::isDecimalDigit);
    }

    /** As {@link #isDecimal} for hexadecimal digits of either case. */
    static boolean isHexadecimal(String text, int maxDigits) {
        return consistsOf(text, maxDigits, NumberSyntax::isHexadecimalDigit);
    }

    private interface DigitTest {
        boolean accepts(char character);
    }

    private static boolean consistsOf(String text, int maxDigits, DigitTest test) {
        if (text.isEmpty() || text.length() > maxDigits) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (!test.accepts(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isDecimalDigit(char character) {
        return character >= '0' && character <= '9';
    }

    private static boolean isHexadecimalDigit(char character) {
        return isDecimalDigit(character)
                || character >= 'a' && character <= 'f'
                || character >= 'A' && character <= 'F';
    }
}
