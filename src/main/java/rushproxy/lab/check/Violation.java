package rushproxy.lab.check;

/**
 * A rule that was broken.
 *
 * @param us when, in microseconds since the first possible request
 * @param id the request, null where it is about none
 */
public record Violation(String rule, long us, String id, String words) {}
