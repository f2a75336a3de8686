package rushproxy.sidecar;

/** Recognizes the numbers in headers. Every request has some: a regular expression would be compiled anew for each. */
final class NumberSyntax {
    private NumberSyntax() {}

    /** Whether the text is of digits alone, one at least and so many at most. */
    static boolean isDecimal(String text, int mostDigits) {
        return isOfDigits(text, mostDigits, NumberSyntax::isDecimalDigit);
    }

    /** As {@link #isDecimal}, with the digits of both cases up to F. */
    static boolean isHexadecimal(String text, int mostDigits) {
        return isOfDigits(text, mostDigits, NumberSyntax::isHexadecimalDigit);
    }

    private interface Digits {
        boolean has(char character);
    }

    private static boolean isOfDigits(String text, int mostDigits, Digits digits) {
        if (text.isEmpty() || text.length() > mostDigits) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (!digits.has(text.charAt(i))) {
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
