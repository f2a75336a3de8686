package rushproxy.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Function;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code fleet}: queries running sidecars about their fleet, and sets fleet-wide limits, through their admin addresses. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Queries running sidecars about their fleet and sets fleet-wide limits.",
        subcommands = {
            FleetCommand.Members.class,
            FleetCommand.Verdicts.class,
            FleetCommand.Limits.class,
            FleetCommand.Limit.class
        })
final class FleetCommand implements Runnable {
    private static final int TIMEOUT_MS = 3_000;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a subcommand is required: members, verdicts, limits or limit");
    }

    /** Sends one line to an admin address and returns the answer, trimmed; it is empty if the sidecar closes without one. */
    static String sendAdminCall(String address, String line) throws IOException {
        int colon = address.lastIndexOf(':');
        if (colon <= 0 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IOException("'" + address + "' is not an address of the form HOST:PORT");
        }
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IllegalArgumentException e) {
            throw new IOException("'" + address + "': " + e.getMessage());
        }
    }

    /**
     * Formats membership views side by side, with a row per member and a column per queried sidecar. Rows that differ between columns
     * are marked with '!'. The heading of a sidecar that returned no view is its address and "(none)".
     */
    static String formatMembers(Map<String, JsonNode> views) {
        Map<String, Map<String, String>> rows = new TreeMap<>();
        for (Map.Entry<String, JsonNode> v : views.entrySet()) {
            for (JsonNode m :
                    v.getValue() == null ? List.<JsonNode>of() : v.getValue().path("members")) {
                rows.computeIfAbsent(m.path("name").asText(), n -> new LinkedHashMap<>())
                        .put(
                                v.getKey(),
                                m.path("state").asText() + " "
                                        + m.path("incarnation").asLong());
            }
        }
        StringBuilder text = new StringBuilder(String.format("%-2s%-16s", "", "member"));
        List<String> columns = new ArrayList<>(views.keySet());
        for (String c : columns) {
            JsonNode v = views.get(c);
            text.append(String.format(
                    " %-24s",
                    v == null
                            ? c + " (none)"
                            : v.path("self").asText() + ": "
                                    + v.path("standing").asText() + " "
                                    + v.path("here").asInt() + "/"
                                    + v.path("expected").asInt()));
        }
        text.append('\n');
        for (Map.Entry<String, Map<String, String>> row : rows.entrySet()) {
            Set<String> distinct = new HashSet<>();
            columns.stream()
                    .filter(c -> views.get(c) != null)
                    .forEach(c -> distinct.add(row.getValue().getOrDefault(c, "-")));
            text.append(String.format("%-2s%-16s", distinct.size() > 1 ? "!" : "", row.getKey()));
            for (String c : columns) {
                text.append(String.format(
                        " %-24s", views.get(c) == null ? "" : row.getValue().getOrDefault(c, "-")));
            }
            text.append('\n');
        }
        return text.toString();
    }

    /** Returns the JSON answers to an admin call by address; null for a sidecar without one, with the reason on the error stream. */
    private static Map<String, JsonNode> queryAll(
            CommandLine.Model.CommandSpec spec, List<String> addresses, String call) {
        Map<String, JsonNode> views = new LinkedHashMap<>();
        for (String a : addresses) {
            JsonNode view = null;
            try {
                String answer = sendAdminCall(a, call);
                if (answer.startsWith("ACK {")) {
                    view = new ObjectMapper().readTree(answer.substring(4));
                } else {
                    spec.commandLine().getErr().println(a + ": " + (answer.isEmpty() ? "no answer" : answer));
                }
            } catch (IOException e) {
                spec.commandLine().getErr().println(a + ": " + e.getMessage());
            }
            views.put(a, view);
        }
        spec.commandLine().getErr().flush();
        return views;
    }

    /**
     * Formats views side by side, with a column per view and a row per key that {@code cells} reads from a view. Rows that differ between
     * columns are marked with '!'; text in parentheses is not compared.
     */
    private static String formatRows(
            String heading, Map<String, JsonNode> views, Function<JsonNode, Map<String, String>> cells) {
        Map<String, Map<String, String>> rows = new TreeMap<>();
        StringBuilder text = new StringBuilder(String.format("%-2s%-16s", "", heading));
        views.forEach((address, view) -> {
            text.append(String.format(
                    " %-30s",
                    view == null ? address + " (none)" : view.path("self").asText()));
            if (view != null) {
                cells.apply(view)
                        .forEach((row, cell) -> rows.computeIfAbsent(row, r -> new LinkedHashMap<>())
                                .put(address, cell));
            }
        });
        text.append('\n');
        rows.forEach((row, cellByAddress) -> {
            Set<String> distinct = new HashSet<>();
            views.forEach((a, v) -> distinct.add(
                    v == null ? null : cellByAddress.getOrDefault(a, "-").replaceAll(" \\(.*", "")));
            distinct.remove(null);
            text.append(String.format("%-2s%-16s", distinct.size() > 1 ? "!" : "", row));
            views.keySet()
                    .forEach(a -> text.append(
                            String.format(" %-30s", views.get(a) == null ? "" : cellByAddress.getOrDefault(a, "-"))));
            text.append('\n');
        });
        return text.toString();
    }

    /** Prints a table and returns the exit code: 1 if a row is marked or a view is missing. */
    private static int printTable(CommandLine.Model.CommandSpec spec, String table, Map<String, JsonNode> views) {
        PrintWriter out = spec.commandLine().getOut();
        out.print(table);
        out.flush();
        return views.containsValue(null) || table.lines().anyMatch(l -> l.startsWith("!")) ? 1 : 0;
    }

    @Command(
            name = "verdicts",
            mixinStandardHelpOptions = true,
            description = "Prints each sidecar's verdicts on servers, and the sidecars"
                    + " that reported them; '!' marks servers on which they disagree.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all agree", "1:some disagree, or did not answer", "2:invalid arguments"})
    static final class Verdicts implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "ADDR", description = "Admin addresses, HOST:PORT.")
        private List<String> addresses;

        @Override
        public Integer call() {
            Map<String, JsonNode> views = queryAll(spec, addresses, "verdicts");
            return printTable(spec, formatVerdicts(views), views);
        }

        static String formatVerdicts(Map<String, JsonNode> views) {
            return formatRows("server", views, view -> {
                Map<String, String> cells = new LinkedHashMap<>();
                for (JsonNode verdict : view.path("verdicts")) {
                    List<String> reporters = new ArrayList<>();
                    verdict.path("words")
                            .forEach(w -> reporters.add(w.path("by").asText()));
                    cells.put(
                            verdict.path("server").asText(),
                            (verdict.path("holds").asBoolean()
                                            ? verdict.path("kind").asText()
                                            : "accused") + " (" + String.join(" ", reporters) + ")");
                }
                return cells;
            });
        }
    }

    @Command(
            name = "limits",
            mixinStandardHelpOptions = true,
            description = "Prints each sidecar's share of each fleet-wide limit;"
                    + " '!' marks limits that differ between sidecars.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all have the same limits", "1:some do not, or did not answer", "2:invalid arguments"})
    static final class Limits implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "ADDR", description = "Admin addresses, HOST:PORT.")
        private List<String> addresses;

        @Override
        public Integer call() {
            Map<String, JsonNode> views = queryAll(spec, addresses, "limits");
            return printTable(spec, formatLimits(views), views);
        }

        static String formatLimits(Map<String, JsonNode> views) {
            Map<String, Double> sums = new TreeMap<>();
            String rows = formatRows("limit", views, view -> {
                Map<String, String> cells = new LinkedHashMap<>();
                for (JsonNode limit : view.path("limits")) {
                    sums.merge(limit.path("name").asText(), limit.path("share").asDouble(), Double::sum);
                    cells.put(
                            limit.path("name").asText(),
                            String.format(
                                    Locale.ROOT,
                                    "%.0f %s %s (has %.1f asks %.1f)",
                                    limit.path("most").asDouble(),
                                    limit.path("per").asText().equals("in_flight") ? "in flight" : "a s",
                                    limit.path("of").asText(),
                                    limit.path("share").asDouble(),
                                    limit.path("demand").asDouble()));
                }
                return cells;
            });
            StringBuilder text = new StringBuilder(rows);
            sums.forEach((name, sum) ->
                    text.append(String.format(Locale.ROOT, "  %s: %.1f held by those asked%n", name, sum)));
            return text.toString();
        }
    }

    @Command(
            name = "limit",
            mixinStandardHelpOptions = true,
            description = "Sets or removes a fleet-wide limit through one of its sidecars.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:the sidecar accepted it and passes it on to the others",
                "1:the sidecar did not accept it",
                "2:invalid arguments"
            })
    static final class Limit implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "ADDR", description = "Admin address of one sidecar, HOST:PORT.")
        private String address;

        @Parameters(index = "1", paramLabel = "NAME", description = "The limit's name.")
        private String name;

        @Parameters(index = "2", arity = "0..1", paramLabel = "OF", description = "all, class:NAME or tenant:NAME.")
        private String scope;

        @Parameters(index = "3", arity = "0..1", paramLabel = "MOST", description = "The maximum for the whole fleet.")
        private Double maximum;

        @Parameters(index = "4", arity = "0..1", paramLabel = "PER", description = "per_second (default) or in_flight.")
        private String unit;

        @CommandLine.Option(
                names = "--off",
                description = "Remove the limit; the configured one, if any, applies again.")
        private boolean off;

        @Override
        public Integer call() {
            if (off != (scope == null) || !off && maximum == null) {
                throw new CommandLine.ParameterException(spec.commandLine(), "either OF and MOST or --off is required");
            }
            try {
                String answer = FleetCommand.sendAdminCall(
                        address,
                        off
                                ? "unlimit " + name
                                : "limit " + name + " " + scope + " " + maximum + " "
                                        + (unit == null ? "per_second" : unit));
                spec.commandLine().getOut().println(answer.isEmpty() ? "no answer" : answer);
                return answer.equals("ACK") ? 0 : 1;
            } catch (IOException e) {
                spec.commandLine().getErr().println(address + ": " + e.getMessage());
                return 1;
            }
        }
    }

    @Command(
            name = "members",
            mixinStandardHelpOptions = true,
            description = "Prints the members as each sidecar sees them; '!' marks members on which they disagree.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all agree", "1:some disagree, or returned no view", "2:invalid arguments"})
    static final class Members implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "ADDR", description = "Admin addresses, HOST:PORT.")
        private List<String> addresses;

        @Override
        public Integer call() {
            Map<String, JsonNode> views = queryAll(spec, addresses, "members");
            return printTable(spec, formatMembers(views), views);
        }
    }
}
