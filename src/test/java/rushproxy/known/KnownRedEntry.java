package rushproxy.known;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One known failure, a line of {@code KNOWN-RED.txt}. {@code .ci/known-red} checks the same form before a build begins.
 *
 * @param test    the test, as {@code Class#method}
 * @param command what shows the failure
 * @param seed    what the run draws from
 * @param seen    the symptom
 * @param issue   the number of the open issue
 */
record KnownRedEntry(String test, String command, String seed, String symptom, int issue) {
    private static final String FIELD = "([^| ][^|]*)";
    private static final Pattern LINE = Pattern.compile("(\\w+#\\w+) \\| command: " + FIELD + " \\| seed: " + FIELD
            + " \\| seen: " + FIELD + " \\| issue: ([0-9]+)");

    static KnownRedEntry parse(String line) {
        Matcher match = LINE.matcher(line);
        if (!match.matches()) {
            throw new IllegalArgumentException(
                    "not of the form 'Class#method | command: … | seed: … | seen: … | issue: N': " + line);
        }
        return new KnownRedEntry(
                match.group(1), match.group(2), match.group(3), match.group(4), Integer.parseInt(match.group(5)));
    }
}
