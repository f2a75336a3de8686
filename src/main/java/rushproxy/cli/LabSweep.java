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

/** {@code lab sweep}: runs a scenario in several variants on each of several seeds, and compares their figures. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario in several variants on each seed and prints which figures differ significantly.")
final class LabSweep implements Callable<Integer> {
    /** A named set of overrides; {@code jar} is null for the build that the scenario names. */
    private record Variant(String name, Map<String, String> overrides, String jar) {}

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
            description = "A variant; jar=FILE uses another build." + " The others are compared with the first.")
    private List<String> variants = new ArrayList<>(List.of());

    @Option(names = "--figure", description = "Figure to compare; by default all.")
    private List<String> figures = new ArrayList<>();

    @Option(names = "--out", description = "Folder for the reports.")
    private Path out;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter console = spec.commandLine().getOut();
        List<Variant> all = new ArrayList<>();
        Map<Variant, Map<Long, Summary>> summaries = new LinkedHashMap<>();
        List<Long> seedList;
        Build build;
        try {
            seedList = Sweep.seeds(seeds);
            for (String v : variants.isEmpty() ? List.of("as-is") : variants) {
                all.add(parseVariant(v));
            }
            build = Build.of(Build.findRoot());
            for (Variant v : all) {
                ScenarioReader.read(scenario, v.overrides);
                if (v.jar != null) {
                    build.withJar(v.jar);
                }
            }
            for (String figure : figures) {
                if (!Figures.NAMES.contains(figure)) {
                    throw new ScenarioException("unknown figure '" + figure + "'; known figures: " + Figures.NAMES);
                }
            }
        } catch (ScenarioException | IOException | IllegalArgumentException e) {
            return LabCommand.printError(spec, e);
        }
        Path folder = out == null ? LabCommand.newReportFolder("sweep") : out;
        try {
            for (int i = 0; i < seedList.size(); i++) {
                for (int j = 0; j < all.size(); j++) {
                    // The order rotates from seed to seed, so that drift of the machine over time affects all variants
                    // alike.
                    Variant v = all.get((i + j) % all.size());
                    play(v, seedList.get(i), build, folder, summaries, console);
                }
            }
            String table = formatComparison(all, seedList, summaries);
            console.print(table);
            Files.writeString(folder.resolve("sweep.txt"), table);
            console.flush();
        } catch (ScenarioException | IOException e) {
            return LabCommand.printError(spec, e);
        }
        return summaries.values().stream()
                .flatMap(m -> m.values().stream())
                .mapToInt(s -> LabCommand.exitCode(s.verdict()))
                .max()
                .orElse(0);
    }

    private static Variant parseVariant(String text) throws ScenarioException {
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        if (!name.matches("[A-Za-z0-9._-]{1,30}")) {
            throw new ScenarioException(
                    "variant '" + name + "': a name consists of 1 to 30 letters, digits, '.', '_' and '-'");
        }
        List<String> overrides =
                colon < 0 ? List.of() : List.of(text.substring(colon + 1).split(";"));
        Map<String, String> parsed = LabCommand.ScenarioOverrides.parseOverrides(overrides);
        String jar = parsed.remove("jar");
        return new Variant(name, parsed, jar);
    }

    private void play(
            Variant v,
            long seed,
            Build build,
            Path folder,
            Map<Variant, Map<Long, Summary>> summaries,
            PrintWriter console)
            throws ScenarioException, IOException, InterruptedException {
        Map<String, String> overrides = new LinkedHashMap<>(v.overrides);
        overrides.put("seed", Long.toString(seed));
        Scenario s = ScenarioReader.read(scenario, overrides);
        Summary summary = new Lab(
                        s,
                        v.jar == null ? build : build.withJar(v.jar),
                        folder.resolve(v.name + "-" + seed),
                        line -> {})
                .run();
        summaries.computeIfAbsent(v, k -> new LinkedHashMap<>()).put(seed, summary);
        console.printf(
                Locale.ROOT,
                "%-16s seed %-4d %-7s served %.4f worth %.4f p99 %.1f ms%s%n",
                v.name,
                seed,
                summary.verdict(),
                summary.figures().served(),
                summary.figures().worth(),
                summary.figures().p99Ms(),
                summary.why().isEmpty() ? "" : "  " + summary.why().get(0));
        console.flush();
    }

    /** Compares the variants figure by figure. A seed counts only if every variant's run on it has the verdict held or broken. */
    private String formatComparison(
            List<Variant> all, List<Long> seedList, Map<Variant, Map<Long, Summary>> summaries) {
        StringBuilder text = new StringBuilder();
        List<Long> counted = seedList.stream()
                .filter(seed -> all.stream().allMatch(v -> {
                    String verdict = summaries.get(v).get(seed).verdict();
                    return verdict.equals("held") || verdict.equals("broken");
                }))
                .toList();
        text.append(counted.size()).append(" of ").append(seedList.size()).append(" seeds count\n");
        if (counted.isEmpty()) {
            return text.toString();
        }
        for (String figure : figures.isEmpty() ? Figures.NAMES : figures) {
            text.append(figure).append('\n');
            List<Double> baseline = null;
            for (Variant v : all) {
                List<Double> values = counted.stream()
                        .map(seed -> summaries.get(v).get(seed).figures().valueOf(figure))
                        .toList();
                Sweep.Spread spread = Sweep.spread(values);
                text.append(String.format(
                        Locale.ROOT,
                        "  %-16s median %.4f  from %.4f to %.4f",
                        v.name,
                        spread.median(),
                        spread.least(),
                        spread.greatest()));
                if (baseline == null) {
                    baseline = values;
                } else {
                    text.append("  difference ")
                            .append(Sweep.difference(values, baseline).words());
                }
                text.append('\n');
            }
        }
        return text.toString();
    }
}
