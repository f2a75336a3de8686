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

/** {@code fleet}: what running sidecars say of their fleet, by their second addresses. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Asks running sidecars about their fleet.",
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
        throw new CommandLine.ParameterException(spec.commandLine(), "what is to be asked?");
    }

    /** One line out, one line back; throws where there is no answer. */
    static String sendAdminCall(String address, String line) throws IOException {
        int colon = address.lastIndexOf(':');
        if (colon <= 0 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IOException("'" + address + "' is no address of the form HOST:PORT");
        }
        try (Socket s = new Socket()) {
            s.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    TIMEOUT_MS);
            s.setSoTimeout(TIMEOUT_MS);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IllegalArgumentException e) {
            throw new IOException("'" + address + "': " + e.getMessage());
        }
    }

    /**
     * The views side by side: a row a member, a column a sidecar that was asked; a row that is not the same in all columns
     * is marked. A column whose sidecar gave no view says so in its head.
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
            Set<String> said = new HashSet<>();
            columns.stream()
                    .filter(c -> views.get(c) != null)
                    .forEach(c -> said.add(row.getValue().getOrDefault(c, "-")));
            text.append(String.format("%-2s%-16s", said.size() > 1 ? "!" : "", row.getKey()));
            for (String c : columns) {
                text.append(String.format(
                        " %-24s", views.get(c) == null ? "" : row.getValue().getOrDefault(c, "-")));
            }
            text.append('\n');
        }
        return text.toString();
    }

    /** The answers to a call as JSON, by address; null where there was none, which is said on the error stream. */
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

    /** A row for each thing, a column for each view; rows that differ are marked. {@code cells} reads a view. */
    private static String formatRows(
            String head, Map<String, JsonNode> views, Function<JsonNode, Map<String, String>> cells) {
        Map<String, Map<String, String>> rows = new TreeMap<>();
        StringBuilder text = new StringBuilder(String.format("%-2s%-16s", "", head));
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
        rows.forEach((row, of) -> {
            Set<String> said = new HashSet<>();
            views.forEach((a, v) ->
                    said.add(v == null ? null : of.getOrDefault(a, "-").replaceAll(" \\(.*", "")));
            said.remove(null);
            text.append(String.format("%-2s%-16s", said.size() > 1 ? "!" : "", row));
            views.keySet()
                    .forEach(a ->
                            text.append(String.format(" %-30s", views.get(a) == null ? "" : of.getOrDefault(a, "-"))));
            text.append('\n');
        });
        return text.toString();
    }

    private static int printTable(CommandLine.Model.CommandSpec spec, String table, Map<String, JsonNode> views) {
        PrintWriter out = spec.commandLine().getOut();
        out.print(table);
        out.flush();
        return views.containsValue(null) || table.lines().anyMatch(l -> l.startsWith("!")) ? 1 : 0;
    }

    @Command(
            name = "verdicts",
            mixinStandardHelpOptions = true,
            description = "Prints what each sidecar believes of servers, and by"
                    + " whose word; '!' marks what they disagree on.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all agree", "1:some disagree, or gave no answer", "2:bad words"})
    static final class Verdicts implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "ADDR", description = "Second addresses, HOST:PORT.")
        private List<String> addresses;

        @Override
        public Integer call() {
            Map<String, JsonNode> views = queryAll(spec, addresses, "verdicts");
            return printTable(spec, formatVerdicts(views), views);
        }

        static String formatVerdicts(Map<String, JsonNode> views) {
            return formatRows("server", views, view -> {
                Map<String, String> cells = new LinkedHashMap<>();
                for (JsonNode c : view.path("verdicts")) {
                    List<String> by = new ArrayList<>();
                    c.path("words").forEach(w -> by.add(w.path("by").asText()));
                    cells.put(
                            c.path("server").asText(),
                            (c.path("holds").asBoolean() ? c.path("kind").asText() : "accused") + " ("
                                    + String.join(" ", by) + ")");
                }
                return cells;
            });
        }
    }

    @Command(
            name = "limits",
            mixinStandardHelpOptions = true,
            description = "Prints each sidecar's share of each fleet-wide limit;"
                    + " '!' marks limits that are not the same everywhere.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all know the same limits", "1:some don't, or gave no answer", "2:bad words"})
    static final class Limits implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "ADDR", description = "Second addresses, HOST:PORT.")
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
                for (JsonNode l : view.path("limits")) {
                    sums.merge(l.path("name").asText(), l.path("share").asDouble(), Double::sum);
                    cells.put(
                            l.path("name").asText(),
                            String.format(
                                    Locale.ROOT,
                                    "%.0f %s %s (has %.1f asks %.1f)",
                                    l.path("most").asDouble(),
                                    l.path("per").asText().equals("in_flight") ? "in flight" : "a s",
                                    l.path("of").asText(),
                                    l.path("share").asDouble(),
                                    l.path("demand").asDouble()));
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
            description = "Sets a limit for the whole fleet by a call to one of its" + " sidecars, or takes it back.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:the sidecar has taken it, and tells the others", "1:it has not", "2:bad words"})
    static final class Limit implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "ADDR", description = "Second address of one sidecar, HOST:PORT.")
        private String address;

        @Parameters(index = "1", paramLabel = "NAME", description = "The limit's name.")
        private String name;

        @Parameters(index = "2", arity = "0..1", paramLabel = "OF", description = "all, class:NAME or tenant:NAME.")
        private String scope;

        @Parameters(index = "3", arity = "0..1", paramLabel = "MOST", description = "The limit of the whole fleet.")
        private Double maximum;

        @Parameters(index = "4", arity = "0..1", paramLabel = "PER", description = "per_second (default) or in_flight.")
        private String unit;

        @CommandLine.Option(names = "--off", description = "Take it back; one of the configuration holds again.")
        private boolean off;

        @Override
        public Integer call() {
            if (off != (scope == null) || !off && maximum == null) {
                throw new CommandLine.ParameterException(spec.commandLine(), "OF and MOST, or --off, are wanted");
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
            description = "Prints who is here as each sidecar sees it; '!' marks" + " what they disagree on.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all agree", "1:some disagree, or gave no view", "2:bad words"})
    static final class Members implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "ADDR", description = "Second addresses, HOST:PORT.")
        private List<String> addresses;

        @Override
        public Integer call() {
            Map<String, JsonNode> views = queryAll(spec, addresses, "members");
            return printTable(spec, formatMembers(views), views);
        }
    }
}
