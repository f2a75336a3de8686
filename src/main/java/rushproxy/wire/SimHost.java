package rushproxy.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.Balancer;
import rushproxy.Balancer.ListKind;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Request;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;
import rushproxy.Policy;

/** Hosts many isolated policy instances for the simulator: translates its line protocol, without any decisions of its own. */
public final class SimHost {
    private static final int MAX_PAGES = 16;
    private static final int BUFFER_CHARS = 1 << 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream err;
    private final StringBuilder reply = new StringBuilder(BUFFER_CHARS);
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<Upstream>> pages = new ArrayList<>();
    /** The instance that the reply's last BY line names. */
    private String lastWrittenInstance;
    /** A policy call has thrown: no further calls are made. */
    private boolean policyFailed;

    /** A policy instance, and the names of the values in its load reports, in order. */
    private record Instance(Balancer balancer, List<String> loadReportFields) {}

    public SimHost(InputStream in, OutputStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_CHARS);
        this.out = out;
        this.err = err;
        for (int i = 0; i < MAX_PAGES; i++) {
            pages.add(null);
        }
    }

    /** Runs until the input ends and returns the exit code. */
    public int run() throws IOException {
        try {
            String line;
            while ((line = in.readLine()) != null) {
                handleBatch(line);
            }
            return 0;
        } catch (WireException e) {
            err.println("rushproxy: " + e.getMessage());
            return 1;
        }
    }

    private void handleBatch(String first) throws IOException {
        Fields mark = new Fields(first);
        if (!mark.nextText().equals("MARK")) {
            throw new WireException("a batch must start with MARK, not '" + first + "'");
        }
        long now = mark.nextLong();
        reply.setLength(0);
        lastWrittenInstance = null;
        String current = null;
        while (true) {
            String line = in.readLine();
            if (line == null) {
                throw new WireException("input ended within a batch");
            }
            if (line.equals("END")) {
                break;
            }
            Fields fields = new Fields(line);
            String name = fields.nextText();
            if (name.equals("INSTANCE")) {
                current = fields.nextText();
            } else if (name.equals("PAGE")) {
                readPage(fields);
            } else if (current == null) {
                throw new WireException("'" + name + "' before any INSTANCE");
            } else {
                handleEvent(now, current, name, fields);
            }
        }
        reply.append("OK\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void readPage(Fields fields) throws IOException {
        int number = (int) fields.nextLong();
        if (number < 0 || number >= pages.size()) {
            throw new WireException("PAGE number " + number + " is out of range");
        }
        long count = fields.nextLong();
        List<Upstream> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = in.readLine();
            if (line == null) {
                throw new WireException("input ended within a PAGE");
            }
            Fields row = new Fields(line);
            if (!row.nextText().equals("ROW")) {
                throw new WireException("a PAGE must consist of ROW lines, not '" + line + "'");
            }
            String zone = row.nextText();
            String id = row.nextText();
            String kind = row.nextText();
            int cell = (int) row.nextLongOr(-1);
            long started = row.nextLongOr(0);
            double weight = row.nextDoubleOr(1);
            int state = (int) row.nextLong();
            if (state < 0 || state > 2) {
                throw new WireException("state " + state + " is unknown in '" + line + "'");
            }
            entries.add(new Upstream(id, zone, kind, cell, started, weight, UpstreamState.values()[state]));
        }
        pages.set(number, entries);
    }

    private void handleEvent(long now, String name, String event, Fields fields) {
        Instance instance = instances.get(name);
        if (instance == null && !event.equals("ENLIST")) {
            if (event.equals("DOWN")) {
                return;
            }
            throw new WireException("'" + event + "' for instance '" + name + "', which has not started");
        }
        switch (event) {
            case "ENLIST" -> {
                long seed = fields.nextLong();
                SettingsReader reader = new SettingsReader(fields);
                Balancer.Settings settings = reader.read();
                callPolicy(
                        name,
                        () -> instances.put(
                                name,
                                new Instance(
                                        new Policy(settings, seed, now, new ActionWriter(name)),
                                        reader.loadReportFields())));
            }
            case "DOWN" -> instances.remove(name);
            case "ANNOUNCE" -> {
                ListKind kind = parseListKind(fields.nextLong());
                fields.nextLongOr(0);
                int number = (int) fields.nextLongOr(-1);
                List<Upstream> entries = kind == ListKind.FAILED
                        ? List.of()
                        : number >= 0 && number < pages.size() ? pages.get(number) : null;
                if (entries == null) {
                    throw new WireException("ANNOUNCE names PAGE " + number + ", which was never sent");
                }
                callPolicy(name, () -> instance.balancer.onUpstreamList(now, kind, entries));
            }
            case "ACCEPT" -> {
                String id = fields.nextText();
                long key = fields.nextLongOr(-1);
                boolean repeat = fields.nextBoolean();
                boolean write = fields.nextBoolean();
                double hint = fields.nextDoubleOr(0);
                long remaining = fields.nextLong();
                String tenant = fields.nextTextOrNull();
                Request request = new Request(id, key, repeat, write, hint, remaining, tenant, fields.nextText());
                callPolicy(name, () -> instance.balancer.onRequest(now, request));
            }
            case "REPORT_BACK" -> {
                String id = fields.nextText();
                int attempt = (int) fields.nextLong();
                String upstream = fields.nextText();
                Outcome outcome = parseOutcome(fields.nextText());
                long latency = fields.nextLongOr(0);
                boolean done = fields.nextBoolean();
                LoadReport report = parseLoadReport(fields.nextTextOrNull(), instance.loadReportFields);
                callPolicy(
                        name,
                        () -> instance.balancer.onOutcome(now, id, attempt, upstream, outcome, latency, done, report));
            }
            case "OPENED" -> {
                String id = fields.nextText();
                int attempt = (int) fields.nextLong();
                long latency = fields.nextLongOr(0);
                String upstream = fields.nextText();
                callPolicy(name, () -> instance.balancer.onStreamStart(now, id, attempt, upstream, latency));
            }
            case "PROBED" -> {
                String upstream = fields.nextText();
                Outcome outcome = parseOutcome(fields.nextText());
                long latency = fields.nextLongOr(0);
                LoadReport report = parseLoadReport(fields.nextTextOrNull(), instance.loadReportFields);
                callPolicy(name, () -> instance.balancer.onProbeResult(now, upstream, outcome, latency, report));
            }
            case "EXPIRED" -> {
                String id = fields.nextText();
                callPolicy(name, () -> instance.balancer.onRequestExpired(now, id));
            }
            case "MAIL" -> {
                int peer = (int) fields.nextLong();
                byte[] message = decodeBase64(fields.nextTextOrNull());
                callPolicy(name, () -> instance.balancer.onPeerMessage(now, peer, message));
            }
            case "DEADLINE_HIT" -> {
                String mark = fields.nextText();
                callPolicy(name, () -> instance.balancer.onTimer(now, mark));
            }
            default -> throw new WireException("message '" + event + "' is unknown");
        }
    }

    private void callPolicy(String name, Runnable call) {
        if (policyFailed) {
            return;
        }
        try {
            call.run();
        } catch (RuntimeException e) {
            policyFailed = true;
            writeInstance(name);
            StackTraceElement[] trace = e.getStackTrace();
            reply.append("DIE ")
                    .append(e.toString().replace('\n', ' '))
                    .append(trace.length > 0 ? " at " + trace[0] : "")
                    .append('\n');
        }
    }

    private void writeInstance(String name) {
        if (!name.equals(lastWrittenInstance)) {
            reply.append("BY ").append(name).append('\n');
            lastWrittenInstance = name;
        }
    }

    private static byte[] decodeBase64(String base64) {
        try {
            return base64 == null ? new byte[0] : Base64.getDecoder().decode(base64);
        } catch (IllegalArgumentException e) {
            throw new WireException("'" + base64 + "' is not base64");
        }
    }

    private static ListKind parseListKind(long mode) {
        return switch ((int) mode) {
            case 0 -> ListKind.FULL;
            case 2 -> ListKind.DELTA;
            case 3 -> ListKind.FAILED;
            case 4 -> ListKind.CACHED;
            default -> throw new WireException("ANNOUNCE mode " + mode + " is unknown");
        };
    }

    private static Outcome parseOutcome(String name) {
        return switch (name) {
            case "GOOD" -> Outcome.OK;
            case "BAD" -> Outcome.ERROR;
            case "FULL" -> Outcome.REJECTED;
            case "LATE" -> Outcome.TIMEOUT;
            case "NOCONN" -> Outcome.CONNECT_FAILED;
            case "RST" -> Outcome.RESET;
            case "CXL" -> Outcome.CANCELLED;
            case "NOP" -> Outcome.NOT_SENT;
            default -> throw new WireException("outcome '" + name + "' is unknown");
        };
    }

    private static LoadReport parseLoadReport(String row, List<String> names) {
        if (row == null) {
            return null;
        }
        LoadValues values = new LoadValues();
        String[] parts = row.split(",");
        for (int i = 0; i < parts.length && i < names.size(); i++) {
            try {
                values.put(names.get(i), parts[i].equals("-") ? -1 : Double.parseDouble(parts[i]));
            } catch (NumberFormatException e) {
                throw new WireException("load report '" + row + "' contains a value that is not a number");
            }
        }
        return values.toLoadReport();
    }

    /** Writes one instance's actions to the reply. */
    private final class ActionWriter implements Balancer.Actions {
        private final String name;

        ActionWriter(String name) {
            this.name = name;
        }

        private StringBuilder beginLine(String action) {
            writeInstance(name);
            return reply.append(action);
        }

        @Override
        public void send(String request, String upstream, long untilUs) {
            beginLine("ASSIGN ")
                    .append(request)
                    .append(' ')
                    .append(upstream)
                    .append(' ')
                    .append(untilUs)
                    .append('\n');
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            beginLine("DENY ").append(request).append(' ').append(retryAfterUs).append('\n');
        }

        @Override
        public void fail(String request) {
            beginLine("FAIL ").append(request).append('\n');
        }

        @Override
        public void cancel(String request, int attempt) {
            beginLine("REVOKE ").append(request).append(' ').append(attempt).append('\n');
        }

        @Override
        public void probe(String upstream) {
            beginLine("SAMPLE ").append(upstream).append('\n');
        }

        @Override
        public void subscribe() {
            beginLine("TRACK 1\n");
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            beginLine("WRITE_PEER ")
                    .append(peer)
                    .append(' ')
                    .append(Base64.getEncoder().encodeToString(message))
                    .append('\n');
        }

        @Override
        public void closeIdleConnections(String upstream) {
            beginLine("LET_GO ").append(upstream).append('\n');
        }

        @Override
        public void startTimer(String mark, long delayUs) {
            beginLine("SCHEDULE ").append(mark).append(' ').append(delayUs).append('\n');
        }

        @Override
        public void log(String text) {
            beginLine("TRACE ").append(text).append('\n');
        }
    }
}
