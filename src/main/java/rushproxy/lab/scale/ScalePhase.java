package rushproxy.lab.scale;

import java.util.List;

/**
 * What one stretch of a scale run cost.
 *
 * @param bytes       sent in a second by a member, IP's and UDP's headers with them: one value a member and second
 * @param datagrams   sent in a second by a member
 * @param datagramNs  processor time for one datagram that came, in nanoseconds
 * @param tickNs      processor time for one tick
 * @param core        a member's part of a core: both of these over its time
 * @param falseDeaths members that somebody within reach held dead while they ran
 * @param known       how soon the changes of this stretch were known
 */
public record ScalePhase(
        String name,
        double seconds,
        Spread bytes,
        Spread datagrams,
        Spread datagramNs,
        Spread tickNs,
        double core,
        int falseDeaths,
        List<Known> known) {
    /**
     * How soon a change was known: milliseconds until so many of a hundred of those who should know did; -1 where that did not
     * come within the stretch. {@code called}: those across a cut that were held dead though they ran.
     */
    public record Known(String change, long ms50, long ms99, long ms100, int called) {}
}
