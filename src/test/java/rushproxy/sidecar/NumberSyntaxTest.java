package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class NumberSyntaxTest {
    /** Guards against a header value that is wrongly accepted or rejected as a number. */
    @Test
    void checksMatchTheEquivalentRegularExpressions() {
        String[] texts = {
            "",
            "0",
            "7",
            "123456789",
            "1234567890",
            "-1",
            "+1",
            " 1",
            "1 ",
            "1.0",
            "1e3",
            "0x1",
            "a",
            "F",
            "g",
            "G",
            "@",
            "`",
            "0123456789abcdef",
            "0123456789ABCDEF0",
            "deadBEEF",
            "\u0661",
            "\uff11",
            "1\n",
            "/",
            ":"
        };
        for (String text : texts) {
            assertEquals(text.matches("[0-9]{1,9}"), NumberSyntax.isDecimal(text, 9), text);
            assertEquals(text.matches("[0-9a-fA-F]{1,16}"), NumberSyntax.isHexadecimal(text, 16), text);
        }
    }
}
