package rushproxy.lab.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import rushproxy.lab.check.Violation;

/**
 * A run in one page: {@code summary.json}.
 *
 * @param verdict    "held", "broken" (a rule or what the scenario expects), "void" (the laboratory itself was late),
 *                   "stopped" half way, or "failed" to start
 * @param why        what the verdict rests on, a line each
 * @param lateness   of the laboratory, in milliseconds: "send_p99", "send_max", "late_sends" (a part), "beat_p99", "beat_max"
 * @param nodes      for each sidecar "cpu_s", "rss_mb", "datagrams", "datagram_bytes", "starts"
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
