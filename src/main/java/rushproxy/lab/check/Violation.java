package rushproxy.lab.check;

/**
 * A violation of a rule in a recorded run.
 *
 * @param rule the name of the rule
 * @param us the time in microseconds since the first possible request
 * @param id the id of the request; null if the violation concerns no single request
 * @param words a description of the violation
 */
public record Violation(String rule, long us, String id, String words) {}
