package rushproxy.lab.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rushproxy.lab.check.RecordedRun;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * Outcomes of the first tries of requests in a run or a part of it, assigned by intended send time. Fractions are of the first
 * tries; latencies are in milliseconds from the intended send to the answer, of those served in time or late; {@code runsPerRequest}
 * is the number of attempts that upstreams took into work or queue, per request.
 */
public record Figures(
        @JsonProperty("requests") long requests,
        @JsonProperty("served") double served,
        @JsonProperty("late") double late,
        @JsonProperty("refused") double refused,
        @JsonProperty("failed") double failed,
        @JsonProperty("worth") double worth,
        @JsonProperty("p50_ms") double p50Ms,
        @JsonProperty("p90_ms") double p90Ms,
        @JsonProperty("p99_ms") double p99Ms,
        @JsonProperty("max_ms") double maxMs,
        @JsonProperty("runs_per_request") double runsPerRequest) {

    /** Computes the figures of the first tries from {@code fromUs} (inclusive) to {@code toUs} (exclusive). */
    public static Figures of(RecordedRun run, long fromUs, long toUs) {
        Map<String, Double> worths = new HashMap<>();
        run.scenario().classes().forEach(c -> worths.put(c.name(), c.worth()));
        Map<String, Integer> countByOutcome = new HashMap<>();
        Histogram latency = new Histogram(3);
        double offeredWorth = 0;
        double servedWorth = 0;
        int count = 0;
        long runs = 0;
        for (Observation o : run.observations()) {
            if (o.what() == EventType.SETTLED && o.sinceUs() >= fromUs && o.sinceUs() < toUs) {
                String[] words = o.text().split(" ");
                count++;
                countByOutcome.merge(words[0], 1, Integer::sum);
                double worth = worths.getOrDefault(words[1], 0.0);
                offeredWorth += worth;
                servedWorth += words[0].equals("served") ? worth : 0;
                if (words[0].equals("served") || words[0].equals("late")) {
                    latency.recordValue(Math.round(o.number() * 1e3));
                }
            } else if (o.us() >= fromUs && o.us() < toUs) {
                runs += o.what() == EventType.GOT ? 1 : o.what() == EventType.TURNED_AWAY ? -1 : 0;
            }
        }
        double n = Math.max(1, count);
        return new Figures(
                count,
                countByOutcome.getOrDefault("served", 0) / n,
                countByOutcome.getOrDefault("late", 0) / n,
                countByOutcome.getOrDefault("refused", 0) / n,
                countByOutcome.getOrDefault("failed", 0) / n,
                offeredWorth == 0 ? 0 : servedWorth / offeredWorth,
                percentileMs(latency, 50),
                percentileMs(latency, 90),
                percentileMs(latency, 99),
                latency.getMaxValue() / 1e3,
                runs / n);
    }

    private static double percentileMs(Histogram latency, double percentile) {
        return latency.getTotalCount() == 0 ? 0 : latency.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns a figure by its name in scenario files; throws for an unknown name. */
    public double valueOf(String figure) {
        return switch (figure) {
            case "served" -> served;
            case "worth" -> worth;
            case "refused" -> refused;
            case "failed" -> failed;
            case "p50_ms" -> p50Ms;
            case "p99_ms" -> p99Ms;
            case "requests" -> requests;
            case "runs_per_request" -> runsPerRequest;
            default -> throw new IllegalArgumentException(figure);
        };
    }

    /** Figures printed by sweeps, as names for {@link #valueOf}. */
    public static final List<String> NAMES =
            List.of("served", "worth", "refused", "failed", "p50_ms", "p99_ms", "runs_per_request");

    /** Outcomes and latencies of the first tries in one second of a run. */
    public record Second(
            @JsonProperty("s") int s,
            @JsonProperty("asked") int asked,
            @JsonProperty("served") int served,
            @JsonProperty("late") int late,
            @JsonProperty("refused") int refused,
            @JsonProperty("failed") int failed,
            @JsonProperty("p50_ms") Double p50Ms,
            @JsonProperty("p90_ms") Double p90Ms,
            @JsonProperty("p99_ms") Double p99Ms,
            @JsonProperty("held") Map<String, Double> held,
            @JsonProperty("lab_late_ms") double labLateMs) {}

    /** Returns the seconds of the run in order; latencies are null for a second in which nothing was served. */
    public static List<Second> seconds(RecordedRun run) {
        Scenario scenario = run.scenario();
        int n = (int) ((scenario.lengthUs() + 999_999) / 1_000_000);
        List<Map<String, Integer>> countByOutcome = new ArrayList<>();
        List<Histogram> latency = new ArrayList<>();
        List<Map<String, Double>> held = new ArrayList<>();
        double[] labLateMs = new double[n];
        for (int i = 0; i < n; i++) {
            countByOutcome.add(new HashMap<>());
            latency.add(new Histogram(3));
            held.add(new TreeMap<>());
        }
        for (Observation o : run.observations()) {
            long at = o.what() == EventType.SETTLED ? o.sinceUs() : o.us();
            int s = (int) Math.floorDiv(at, 1_000_000L);
            if (s < 0 || s >= n) {
                continue;
            }
            if (o.what() == EventType.SETTLED) {
                String outcome = o.text().split(" ")[0];
                countByOutcome.get(s).merge(outcome, 1, Integer::sum);
                if (outcome.equals("served") || outcome.equals("late")) {
                    latency.get(s).recordValue(Math.round(o.number() * 1e3));
                }
            } else if (o.what() == EventType.HELD) {
                held.get(s).put(o.text(), o.number());
            } else if (o.what() == EventType.LATE) {
                labLateMs[s] = Math.max(labLateMs[s], o.number());
            }
        }
        List<Second> seconds = new ArrayList<>();
        for (int s = 0; s < n; s++) {
            Map<String, Integer> counts = countByOutcome.get(s);
            Histogram h = latency.get(s);
            boolean none = h.getTotalCount() == 0;
            seconds.add(new Second(
                    s,
                    counts.values().stream().mapToInt(Integer::intValue).sum(),
                    counts.getOrDefault("served", 0),
                    counts.getOrDefault("late", 0),
                    counts.getOrDefault("refused", 0),
                    counts.getOrDefault("failed", 0),
                    none ? null : percentileMs(h, 50),
                    none ? null : percentileMs(h, 90),
                    none ? null : percentileMs(h, 99),
                    held.get(s),
                    labLateMs[s]));
        }
        return seconds;
    }
}
