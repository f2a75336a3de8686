package rushproxy.lab.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import rushproxy.lab.check.Violation;

/**
 * The summary of a run, written to {@code summary.json}.
 *
 * @param verdict    "held", "broken" (a rule or an expectation of the scenario), "void" (the laboratory itself was too late),
 *                   "stopped" before its end, or "failed" to start
 * @param why        the reasons for the verdict, one per line
 * @param lateness   of the laboratory, in milliseconds except "late_sends", a fraction: "send_p99", "send_max", "late_sends",
 *                   "beat_p99", "beat_max"
 * @param nodes      "cpu_s", "rss_mb", "datagrams", "datagram_bytes" and "starts" by sidecar
 */
public record Summary(
        @JsonProperty("scenario") String scenario,
        @JsonProperty("seed") long seed,
        @JsonProperty("verdict") String verdict,
        @JsonProperty("why") List<String> why,
        @JsonProperty("figures") Figures figures,
        @JsonProperty("violations") List<Violation> violations,
        @JsonProperty("lateness") Map<String, Double> lateness,
        @JsonProperty("nodes") Map<String, Map<String, Double>> nodes) {}
