package rushproxy.sidecar;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.time.Instant;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Lines to standard error for what an operator should know; on a single request only at the debug level. Of three forms by the
 * configuration's {@code log} table: {@code plain}, the words alone; {@code text}, with time, level, node and fields;
 * {@code json}, an object a line. Taken by the runtime's own logging (java.util.logging), to which Netty's goes too, and
 * written by {@link LogWriter}, which nobody who logs waits for.
 */
final class Log {
    enum Level {
        ERROR(java.util.logging.Level.SEVERE),
        WARN(java.util.logging.Level.WARNING),
        INFO(java.util.logging.Level.INFO),
        DEBUG(java.util.logging.Level.FINE);

        private final java.util.logging.Level theirs;

        Level(java.util.logging.Level theirs) {
            this.theirs = theirs;
        }

        static Level of(java.util.logging.Level level) {
            return level.intValue() >= ERROR.theirs.intValue()
                    ? ERROR
                    : level.intValue() >= WARN.theirs.intValue()
                            ? WARN
                            : level.intValue() >= INFO.theirs.intValue() ? INFO : DEBUG;
        }
    }

    enum Form {
        PLAIN,
        TEXT,
        JSON
    }

    /** How it is to write. {@code least}: what is less grave is left out. */
    record Style(Form form, Level least, String node) {
        static final Style DEFAULT = new Style(Form.PLAIN, Level.INFO, "sidecar");
    }

    private static final int MOST_LINES_OF_TRACE = 4;
    /** A process that ends waits so long for its last lines to be written. */
    private static final long LAST_LINES_MS = 50;

    private static final LogWriter WRITER = new LogWriter(System.err);
    private static final Logger ROOT = Logger.getLogger("");
    private static final Logger OURS = Logger.getLogger("rushproxy");

    /** Kept, since it is asked for every request. */
    private static boolean debugs;

    static {
        // Netty would look for other libraries first.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        style(Style.DEFAULT);
    }

    private Log() {}

    static void style(Style style) {
        for (Handler h : ROOT.getHandlers()) {
            ROOT.removeHandler(h);
        }
        Handler handler = new ToWriter(style);
        handler.setLevel(style.least.theirs);
        ROOT.addHandler(handler);
        // Others' words only where they are grave: a request's fate is none.
        ROOT.setLevel(Level.WARN.theirs);
        OURS.setLevel(style.least.theirs);
        debugs = style.least == Level.DEBUG;
    }

    /** Hands each line to the writer. */
    private static final class ToWriter extends Handler {
        private final Style style;

        ToWriter(Style style) {
            this.style = style;
        }

        @Override
        public void publish(LogRecord r) {
            if (isLoggable(r)) {
                Object[] fields = r.getParameters() == null ? new Object[0] : r.getParameters();
                String text = r.getThrown() == null ? r.getMessage() : r.getMessage() + ": " + r.getThrown();
                WRITER.write(Log.format(style, r.getMillis(), Level.of(r.getLevel()), text, fields));
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    /** Before the process ends: its last lines are written if their reader takes them. */
    static void writeLastLines() {
        WRITER.flush(LAST_LINES_MS);
    }

    /** Whether lines of the debug level are written. */
    static boolean debugs() {
        return debugs;
    }

    static void line(String text) {
        event(Level.INFO, text);
    }

    static void warn(String text) {
        event(Level.WARN, text);
    }

    /** {@code fields}: names and values in turn; the plain form leaves them out, since the words say it. */
    static void event(Level level, String text, Object... fields) {
        LogRecord r = new LogRecord(level.theirs, text);
        r.setLoggerName(OURS.getName());
        r.setParameters(fields);
        OURS.log(r);
    }

    static String format(Style style, long atMs, Level level, String text, Object... fields) {
        return switch (style.form) {
            case PLAIN -> "rushproxy: " + text + "\n";
            case TEXT -> text(style, atMs, level, text, fields);
            case JSON -> json(style, atMs, level, text, fields);
        };
    }

    private static String text(Style style, long atMs, Level level, String text, Object... fields) {
        StringBuilder line = new StringBuilder(64 + text.length());
        line.append(Instant.ofEpochMilli(atMs))
                .append(' ')
                .append(level)
                .append(' ')
                .append(style.node)
                .append(' ')
                .append(text.replace('\n', ' '));
        for (int i = 0; i + 1 < fields.length; i += 2) {
            String value = String.valueOf(fields[i + 1]);
            boolean bare = value.matches("[A-Za-z0-9._:/-]+");
            line.append(' ').append(fields[i]).append('=');
            if (bare) {
                line.append(value);
            } else {
                quote(line, value);
            }
        }
        return line.append('\n').toString();
    }

    private static String json(Style style, long atMs, Level level, String text, Object... fields) {
        StringBuilder line = new StringBuilder(96 + text.length());
        line.append("{\"time\":\"")
                .append(Instant.ofEpochMilli(atMs))
                .append("\",\"level\":\"")
                .append(level.name().toLowerCase(Locale.ROOT))
                .append("\",\"node\":");
        quote(line, style.node);
        line.append(",\"text\":");
        quote(line, text);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(',');
            quote(line, String.valueOf(fields[i]));
            line.append(':');
            if (fields[i + 1] instanceof Number n && !(n instanceof Double d && !Double.isFinite(d))) {
                line.append(n);
            } else {
                quote(line, String.valueOf(fields[i + 1]));
            }
        }
        return line.append("}\n").toString();
    }

    /** As JSON has it (RFC 8259, section 7). */
    private static void quote(StringBuilder to, String text) {
        to.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                to.append('\\').append(c);
            } else if (c < ' ') {
                to.append("\\u00").append(Character.forDigit(c >> 4, 16)).append(Character.forDigit(c & 15, 16));
            } else {
                to.append(c);
            }
        }
        to.append('"');
    }

    /** A fault of this program: with the lines at which it arose. */
    static void trouble(String what, Throwable e) {
        StringBuilder text = new StringBuilder(what).append(": ").append(e);
        StackTraceElement[] trace = e.getStackTrace();
        for (int i = 0; i < Math.min(MOST_LINES_OF_TRACE, trace.length); i++) {
            text.append(" at ").append(trace[i]);
        }
        event(Level.ERROR, text.toString(), "exception", e.getClass().getName());
    }
}
