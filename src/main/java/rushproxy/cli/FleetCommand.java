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
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code fleet}: what running sidecars say of their fleet, by their second addresses. */
@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Asks running sidecars about their fleet.",
        subcommands = FleetCommand.Members.class)
final class FleetCommand implements Runnable {
    private static final int PATIENCE_MS = 3_000;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "what is to be asked?");
    }

    /** One line out, one line back; throws where there is no answer. */
    static String call(String address, String line) throws IOException {
        int colon = address.lastIndexOf(':');
        if (colon <= 0 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IOException("'" + address + "' is no address of the form HOST:PORT");
        }
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), PATIENCE_MS);
            s.setSoTimeout(PATIENCE_MS);
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
    static String table(Map<String, JsonNode> views) {
        Map<String, Map<String, String>> rows = new TreeMap<>();
        for (Map.Entry<String, JsonNode> v : views.entrySet()) {
            for (JsonNode m : v.getValue() == null ? List.<JsonNode>of() : v.getValue().path("members")) {
                rows.computeIfAbsent(m.path("name").asText(), n -> new LinkedHashMap<>())
                        .put(v.getKey(), m.path("state").asText() + " " + m.path("incarnation").asLong());
            }
        }
        StringBuilder text = new StringBuilder(String.format("%-2s%-16s", "", "member"));
        List<String> columns = new ArrayList<>(views.keySet());
        for (String c : columns) {
            JsonNode v = views.get(c);
            text.append(String.format(" %-24s", v == null ? c + " (none)" : v.path("self").asText() + ": "
                    + v.path("standing").asText() + " " + v.path("here").asInt() + "/" + v.path("expected").asInt()));
        }
        text.append('\n');
        for (Map.Entry<String, Map<String, String>> row : rows.entrySet()) {
            Set<String> said = new HashSet<>();
            columns.stream().filter(c -> views.get(c) != null).forEach(c -> said.add(row.getValue().getOrDefault(c, "-")));
            text.append(String.format("%-2s%-16s", said.size() > 1 ? "!" : "", row.getKey()));
            for (String c : columns) {
                text.append(String.format(" %-24s", views.get(c) == null ? "" : row.getValue().getOrDefault(c, "-")));
            }
            text.append('\n');
        }
        return text.toString();
    }

    @Command(name = "members", mixinStandardHelpOptions = true, description = "Prints who is here as each sidecar sees it; '!' marks"
            + " what they disagree on.", exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all agree", "1:some disagree, or gave no view", "2:bad words"})
    static final class Members implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;
        @Parameters(arity = "1..*", paramLabel = "ADDR", description = "Second addresses, HOST:PORT.")
        private List<String> addresses;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            Map<String, JsonNode> views = new LinkedHashMap<>();
            boolean whole = true;
            for (String a : addresses) {
                JsonNode view = null;
                try {
                    String answer = FleetCommand.call(a, "members");
                    if (answer.startsWith("ACK {")) {
                        view = new ObjectMapper().readTree(answer.substring(4));
                    } else {
                        spec.commandLine().getErr().println(a + ": " + (answer.isEmpty() ? "no answer" : answer));
                    }
                } catch (IOException e) {
                    spec.commandLine().getErr().println(a + ": " + e.getMessage());
                }
                whole &= view != null;
                views.put(a, view);
            }
            String table = table(views);
            out.print(table);
            out.flush();
            spec.commandLine().getErr().flush();
            return whole && table.lines().noneMatch(l -> l.startsWith("!")) ? 0 : 1;
        }
    }
}
