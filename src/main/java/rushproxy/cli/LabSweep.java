package rushproxy.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushproxy.lab.Lab;
import rushproxy.lab.Sweep;
import rushproxy.lab.node.Build;
import rushproxy.lab.report.Figures;
import rushproxy.lab.report.Summary;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioException;
import rushproxy.lab.scenario.ScenarioReader;

/** {@code lab sweep}: one scenario over seeds and variants, the variants in alternation on each seed. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Plays a scenario over seeds and variants in alternation, and says what differences are shown.")
final class LabSweep implements Callable<Integer> {
    /** A name and what it changes; {@code jar} is null for the scenario's own program. */
    private record Variant(String name, Map<String, String> changes, String jar) {}

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(index = "0", paramLabel = "SCENARIO")
    private String scenario;

    @Option(
            names = "--seeds",
            defaultValue = "1-5",
            description = "For example 1-5 or 3,8,20-22; default ${DEFAULT-VALUE}.")
    private String seeds;

    @Option(
            names = "--variant",
            paramLabel = "NAME[:PATH=VALUE[;...]]",
            description =
                    "A variant; jar=FILE takes another build." + " The first is what the others are compared with.")
    private List<String> variants = new ArrayList<>(List.of());

    @Option(names = "--figure", description = "Figures to compare, in place of all.")
    private List<String> figures = new ArrayList<>();

    @Option(names = "--out", description = "The folder for the reports.")
    private Path out;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter print = spec.commandLine().getOut();
        List<Variant> all = new ArrayList<>();
        Map<Variant, Map<Long, Summary>> done = new LinkedHashMap<>();
        List<Long> on;
        Build build;
        try {
            on = Sweep.seeds(seeds);
            for (String v : variants.isEmpty() ? List.of("as-is") : variants) {
                all.add(variant(v));
            }
            build = Build.of(Build.findRoot());
            for (Variant v : all) {
                ScenarioReader.read(scenario, v.changes);
                if (v.jar != null) {
                    build.withJar(v.jar);
                }
            }
            for (String figure : figures) {
                if (!Figures.NAMES.contains(figure)) {
                    throw new ScenarioException("there is no figure '" + figure + "'; there are " + Figures.NAMES);
                }
            }
        } catch (ScenarioException | IOException | IllegalArgumentException e) {
            return LabCommand.bad(spec, e);
        }
        Path folder = out == null ? LabCommand.newFolder("sweep") : out;
        try {
            for (int i = 0; i < on.size(); i++) {
                for (int j = 0; j < all.size(); j++) {
                    // Each goes first on every other seed: what a machine does over time hits all alike.
                    Variant v = all.get((i + j) % all.size());
                    play(v, on.get(i), build, folder, done, print);
                }
            }
            String table = table(all, on, done);
            print.print(table);
            Files.writeString(folder.resolve("sweep.txt"), table);
            print.flush();
        } catch (ScenarioException | IOException e) {
            return LabCommand.bad(spec, e);
        }
        return done.values().stream()
                .flatMap(m -> m.values().stream())
                .mapToInt(s -> LabCommand.code(s.verdict()))
                .max()
                .orElse(0);
    }

    private static Variant variant(String text) throws ScenarioException {
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        if (!name.matches("[A-Za-z0-9._-]{1,30}")) {
            throw new ScenarioException(
                    "variant '" + name + "': a name has letters, digits, '.', '_' and '-', 30 at most");
        }
        List<String> pairs =
                colon < 0 ? List.of() : List.of(text.substring(colon + 1).split(";"));
        Map<String, String> changes = LabCommand.Changes.pairs(pairs);
        String jar = changes.remove("jar");
        return new Variant(name, changes, jar);
    }

    private void play(
            Variant v, long seed, Build build, Path folder, Map<Variant, Map<Long, Summary>> done, PrintWriter print)
            throws ScenarioException, IOException, InterruptedException {
        Map<String, String> changes = new LinkedHashMap<>(v.changes);
        changes.put("seed", Long.toString(seed));
        Scenario s = ScenarioReader.read(scenario, changes);
        Summary summary = new Lab(
                        s,
                        v.jar == null ? build : build.withJar(v.jar),
                        folder.resolve(v.name + "-" + seed),
                        line -> {})
                .run();
        done.computeIfAbsent(v, k -> new LinkedHashMap<>()).put(seed, summary);
        print.printf(
                Locale.ROOT,
                "%-16s seed %-4d %-7s served %.4f worth %.4f p99 %.1f ms%s%n",
                v.name,
                seed,
                summary.verdict(),
                summary.figures().served(),
                summary.figures().worth(),
                summary.figures().p99Ms(),
                summary.why().isEmpty() ? "" : "  " + summary.why().get(0));
        print.flush();
    }

    /** Runs that were void or did not start count for nothing, and neither does what they would be paired with. */
    private String table(List<Variant> all, List<Long> on, Map<Variant, Map<Long, Summary>> done) {
        StringBuilder text = new StringBuilder();
        List<Long> counted = on.stream()
                .filter(seed -> all.stream().allMatch(v -> {
                    String verdict = done.get(v).get(seed).verdict();
                    return verdict.equals("held") || verdict.equals("broken");
                }))
                .toList();
        text.append(counted.size()).append(" of ").append(on.size()).append(" seeds count\n");
        if (counted.isEmpty()) {
            return text.toString();
        }
        for (String figure : figures.isEmpty() ? Figures.NAMES : figures) {
            text.append(figure).append('\n');
            List<Double> base = null;
            for (Variant v : all) {
                List<Double> values = counted.stream()
                        .map(seed -> done.get(v).get(seed).figures().valueOf(figure))
                        .toList();
                Sweep.Spread s = Sweep.spread(values);
                text.append(String.format(
                        Locale.ROOT,
                        "  %-16s median %.4f  from %.4f to %.4f",
                        v.name,
                        s.median(),
                        s.least(),
                        s.greatest()));
                if (base == null) {
                    base = values;
                } else {
                    text.append("  difference ")
                            .append(Sweep.difference(values, base).words());
                }
                text.append('\n');
            }
        }
        return text.toString();
    }
}
