package rushproxy.lab.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Tables of Markdown from scale runs: what was measured, and what follows for the fleet that the project is designed for. */
public final class CapacityTables {
    /** What a sidecar may spend for control: bytes a second, part of a core, and megabytes. */
    private static final double BYTES_A_SECOND = 3_000;

    private static final double CORE = 0.018;
    private static final double HEAP_MB = 64;

    private record Figure(String name, String unit, ToDoubleFunction<ScalePhase> value, double budget) {}

    private static final List<Figure> FIGURES = List.of(
            new Figure("sent, mean", "bytes/s", p -> p.bytes().mean(), BYTES_A_SECOND),
            new Figure("sent, most in one second", "bytes", p -> p.bytes().most(), BYTES_A_SECOND),
            new Figure("processor", "part of a core", ScalePhase::core, CORE));

    private CapacityTables() {}

    public static String of(List<ScaleResult> results) {
        List<ScaleResult> sorted = new ArrayList<>(results);
        sorted.sort(Comparator.comparingInt(ScaleResult::members)
                .thenComparing(ScaleResult::event)
                .thenComparingLong(ScaleResult::seed));
        StringBuilder text = new StringBuilder();
        measured(sorted, text);
        known(sorted, text);
        extrapolated(sorted, text);
        return text.toString();
    }

    private static void measured(List<ScaleResult> results, StringBuilder to) {
        to.append(
                "| members | stretch | seed | bytes/s a member: mean, 99th, most | datagrams/s: mean, most | µs a datagram, a tick"
                        + " (median) | part of a core | heap a member, kB | false deaths |\n|---|---|---|---|---|---|---|---|---|\n");
        Set<String> quiet = new LinkedHashSet<>();
        for (ScaleResult r : results) {
            for (ScalePhase p : r.phases()) {
                // Every run begins with a quiet stretch; one of a size and seed is enough.
                if (p.name().equals("quiet") && !quiet.add(r.members() + " " + r.seed())) {
                    continue;
                }
                to.append(String.format(
                        Locale.ROOT,
                        "| %d | %s | %d | %.0f, %d, %d | %.1f, %d | %.1f, %.1f | %.5f | %d | %d |%n",
                        r.members(),
                        p.name(),
                        r.seed(),
                        p.bytes().mean(),
                        p.bytes().p99(),
                        p.bytes().most(),
                        p.datagrams().mean(),
                        p.datagrams().most(),
                        p.datagramNs().p50() / 1e3,
                        p.tickNs().p50() / 1e3,
                        p.core(),
                        r.heapAMember() / 1024,
                        p.falseDeaths()));
            }
        }
        to.append('\n');
    }

    private static void known(List<ScaleResult> results, StringBuilder to) {
        to.append(
                "| members | change | seed | known by 50, 99 and 100 in 100, ms | held dead across the cut |\n|---|---|---|---|---|\n");
        for (ScaleResult r : results) {
            for (ScalePhase p : r.phases()) {
                for (ScalePhase.Known k : p.known()) {
                    to.append(String.format(
                            Locale.ROOT,
                            "| %d | %s | %d | %s, %s, %s | %d |%n",
                            r.members(),
                            k.change(),
                            r.seed(),
                            ms(k.ms50()),
                            ms(k.ms99()),
                            ms(k.ms100()),
                            k.called()));
                }
            }
        }
        to.append('\n');
    }

    private static String ms(long ms) {
        return ms < 0 ? "–" : Long.toString(ms);
    }

    private static void extrapolated(List<ScaleResult> results, StringBuilder to) {
        to.append("| stretch | figure | formula (n members) | measured up to | worst error there | at "
                + ScalePlan.MOST_MEMBERS + " | budget | verdict |\n|---|---|---|---|---|---|---|---|\n");
        Set<String> stretches = new LinkedHashSet<>();
        results.forEach(r -> r.phases().forEach(p -> stretches.add(p.name())));
        for (String stretch : stretches) {
            for (Figure figure : FIGURES) {
                List<Slope.Point> points = new ArrayList<>();
                for (ScaleResult r : results) {
                    ScalePhase p = r.phase(stretch);
                    if (p != null) {
                        points.add(new Slope.Point(r.members(), figure.value.applyAsDouble(p)));
                    }
                }
                row(stretch, figure.name + ", " + figure.unit, Slope.through(points), figure.budget, to);
            }
        }
        List<Slope.Point> heap = results.stream()
                .map(r -> new Slope.Point(r.members(), r.heapAMember() / 1048576.0))
                .toList();
        row("any", "heap of the view, MB", Slope.through(heap), HEAP_MB, to);
    }

    private static void row(String stretch, String figure, Slope slope, double budget, StringBuilder to) {
        if (slope == null) {
            return;
        }
        double there = slope.at(ScalePlan.MOST_MEMBERS);
        double breaks = slope.reaches(budget);
        to.append(String.format(
                Locale.ROOT,
                "| %s | %s | %.3g n^%.2f | %d | %.0f%% | %.3g | %.3g | %s |%n",
                stretch,
                figure,
                slope.factor(),
                slope.exponent(),
                slope.largest(),
                100 * slope.error(),
                there,
                budget,
                there <= budget ? "holds" : String.format(Locale.ROOT, "broken, from about %.0f on", breaks)));
    }
}
