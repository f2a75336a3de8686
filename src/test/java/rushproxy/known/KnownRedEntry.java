package rushproxy.known;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A known test failure, one line of {@code KNOWN-RED.txt}. {@code .ci/known-red} checks the same format before a build.
 *
 * @param test    the test, as {@code Class#method}
 * @param command the command that reproduces the failure
 * @param seed    the random seed of the run
 * @param symptom what was observed
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
                    "not in the format 'Class#method | command: … | seed: … | seen: … | issue: N': " + line);
        }
        return new KnownRedEntry(
                match.group(1), match.group(2), match.group(3), match.group(4), Integer.parseInt(match.group(5)));
    }
}
