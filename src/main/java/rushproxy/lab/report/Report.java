package rushproxy.lab.report;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import rushproxy.lab.check.RecordedRun;
import rushproxy.lab.check.Violation;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation;

/**
 * Reads and writes the folder of a run: {@code scenario.json}, {@code events.jsonl} (one {@link Observation} per line),
 * {@code figures.jsonl} (one {@link Figures.Second} per line), {@code summary.json} and {@code report.html}, which needs no network.
 */
public final class Report {
    static final ObjectMapper JSON = JsonMapper.builder()
            .configure(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY, false)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();
    private static final String UPLOT_PATH = "/META-INF/resources/webjars/uplot/1.6.30/dist/";
    private static final int MAX_HISTORIES = 20;

    private Report() {}

    public static void write(Path folder, RecordedRun run, Summary summary) throws IOException {
        Files.createDirectories(folder);
        JSON.writerWithDefaultPrettyPrinter()
                .writeValue(folder.resolve("scenario.json").toFile(), run.scenario());
        writeLines(folder.resolve("events.jsonl"), run.observations());
        writeLines(folder.resolve("figures.jsonl"), Figures.seconds(run));
        JSON.writerWithDefaultPrettyPrinter()
                .writeValue(folder.resolve("summary.json").toFile(), summary);
        Files.writeString(folder.resolve("report.html"), html(run, summary));
    }

    private static void writeLines(Path file, List<?> all) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Object one : all) {
                out.write(JSON.writeValueAsString(one));
                out.write('\n');
            }
        }
    }

    /** Reads the run that {@link #write} has written; throws, with file and line, if an event can't be parsed. */
    public static RecordedRun readRun(Path folder) throws IOException {
        Scenario scenario = JSON.readValue(folder.resolve("scenario.json").toFile(), Scenario.class);
        List<Observation> all = new ArrayList<>();
        Path file = folder.resolve("events.jsonl");
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (String line; (line = in.readLine()) != null; ) {
                try {
                    all.add(JSON.readValue(line, Observation.class));
                } catch (JsonProcessingException e) {
                    throw new IOException(file + ", line " + (all.size() + 1) + ": " + e.getOriginalMessage(), e);
                }
            }
        }
        return new RecordedRun(scenario, all);
    }

    public static Summary readSummary(Path folder) throws IOException {
        return JSON.readValue(folder.resolve("summary.json").toFile(), Summary.class);
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Report.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IOException(name + " is missing from the class path");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String html(RecordedRun run, Summary summary) throws IOException {
        return resource("/rushproxy/lab/report.html")
                .replace("/*PLOT_CSS*/", resource(UPLOT_PATH + "uPlot.min.css"))
                .replace("/*PLOT_JS*/", resource(UPLOT_PATH + "uPlot.iife.min.js"))
                .replace("<!--TITLE-->", escapeHtml(summary.scenario() + ", seed " + summary.seed()))
                .replace("<!--VERDICT-->", escapeHtml(summary.verdict()))
                .replace("<!--BODY-->", body(run, summary))
                .replace("/*DATA*/null", chartData(run));
    }

    /** Escapes text for use between tags. */
    static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String body(RecordedRun run, Summary s) {
        StringBuilder html = new StringBuilder();
        html.append("<p>").append(escapeHtml(run.scenario().about())).append("</p>");
        if (!s.why().isEmpty()) {
            html.append("<ul>");
            s.why().forEach(w -> html.append("<li>").append(escapeHtml(w)).append("</li>"));
            html.append("</ul>");
        }
        Figures f = s.figures();
        html.append(
                "<table><tr><th>requests</th><th>served</th><th>worth</th><th>late</th><th>refused</th><th>failed</th>"
                        + "<th>p50 ms</th><th>p90 ms</th><th>p99 ms</th><th>max ms</th><th>runs a request</th></tr>");
        html.append(String.format(
                Locale.ROOT,
                "<tr><td>%d</td><td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%.4f</td>"
                        + "<td>%.1f</td><td>%.1f</td><td>%.1f</td><td>%.1f</td><td>%.2f</td></tr></table>",
                f.requests(),
                f.served(),
                f.worth(),
                f.late(),
                f.refused(),
                f.failed(),
                f.p50Ms(),
                f.p90Ms(),
                f.p99Ms(),
                f.maxMs(),
                f.runsPerRequest()));
        html.append("<h2>The laboratory's own lateness, ms</h2><p>")
                .append(escapeHtml(s.lateness().toString()))
                .append("</p>");
        html.append("<h2>Sidecars</h2><table><tr><th></th>");
        TreeSet<String> columns = new TreeSet<>();
        s.nodes().values().forEach(n -> columns.addAll(n.keySet()));
        columns.forEach(c -> html.append("<th>").append(escapeHtml(c)).append("</th>"));
        html.append("</tr>");
        for (Map.Entry<String, Map<String, Double>> n : s.nodes().entrySet()) {
            html.append("<tr><td>").append(escapeHtml(n.getKey())).append("</td>");
            columns.forEach(c -> html.append("<td>")
                    .append(
                            n.getValue().containsKey(c)
                                    ? String.format(
                                            Locale.ROOT, "%.1f", n.getValue().get(c))
                                    : "")
                    .append("</td>"));
            html.append("</tr>");
        }
        html.append("</table>");
        if (!s.violations().isEmpty()) {
            html.append("<h2>Rules broken</h2>");
            for (Violation v : s.violations()
                    .subList(0, Math.min(MAX_HISTORIES, s.violations().size()))) {
                html.append(String.format(
                        Locale.ROOT,
                        "<p><b>%s</b> at %.3f s: %s</p>",
                        escapeHtml(v.rule()),
                        v.us() / 1e6,
                        escapeHtml(v.words())));
                if (v.id() != null) {
                    html.append("<pre>").append(escapeHtml(run.history(v.id()))).append("</pre>");
                }
            }
        }
        return html.toString();
    }

    private record FaultInterval(double from, double to, String words) {}

    private static String chartData(RecordedRun run) throws IOException {
        List<FaultInterval> shades = run.scenario().faults().stream()
                .map(f -> new FaultInterval(
                        f.atUs() / 1e6, (f.atUs() + Math.max(f.forUs(), 100_000)) / 1e6, f.describe()))
                .toList();
        // A literal "</script>" would end the script element.
        return JSON.copy()
                .disable(SerializationFeature.INDENT_OUTPUT)
                .writeValueAsString(Map.of("seconds", Figures.seconds(run), "faults", shades))
                .replace("<", "\\u003c");
    }
}
