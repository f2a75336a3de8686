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
 * configuration's {@code log} table: {@code plain}, the words alone; {@code formatText}, with time, level, node and fields;
 * {@code formatJson}, an object a line. Taken by the runtime's own logging (java.util.logging), to which Netty's goes too, and
 * written by {@link AsyncLogWriter}, which nobody who logs waits for.
 */
final class Log {
    enum Level {
        ERROR(java.util.logging.Level.SEVERE),
        WARN(java.util.logging.Level.WARNING),
        INFO(java.util.logging.Level.INFO),
        DEBUG(java.util.logging.Level.FINE);

        private final java.util.logging.Level julLevel;

        Level(java.util.logging.Level theirs) {
            this.julLevel = theirs;
        }

        static Level of(java.util.logging.Level level) {
            return level.intValue() >= ERROR.julLevel.intValue()
                    ? ERROR
                    : level.intValue() >= WARN.julLevel.intValue()
                            ? WARN
                            : level.intValue() >= INFO.julLevel.intValue() ? INFO : DEBUG;
        }
    }

    enum Format {
        PLAIN,
        TEXT,
        JSON
    }

    /** How it is to write. {@code minLevel}: what is less grave is left out. */
    record Options(Format format, Level minLevel, String node) {
        static final Options DEFAULT = new Options(Format.PLAIN, Level.INFO, "sidecar");
    }

    private static final int MAX_STACK_FRAMES = 4;
    /** A process that ends waits so long for its last lines to be written. */
    private static final long FLUSH_TIMEOUT_MS = 50;

    private static final AsyncLogWriter WRITER = new AsyncLogWriter(System.err);
    private static final Logger ROOT_LOGGER = Logger.getLogger("");
    private static final Logger LOGGER = Logger.getLogger("rushproxy");

    /** Kept, since it is asked for every request. */
    private static boolean debugEnabled;

    static {
        // Netty would look for other libraries first.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        configure(Options.DEFAULT);
    }

    private Log() {}

    static void configure(Options style) {
        for (Handler h : ROOT_LOGGER.getHandlers()) {
            ROOT_LOGGER.removeHandler(h);
        }
        Handler handler = new WriterHandler(style);
        handler.setLevel(style.minLevel.julLevel);
        ROOT_LOGGER.addHandler(handler);
        // Others' words only where they are grave: a request's fate is none.
        ROOT_LOGGER.setLevel(Level.WARN.julLevel);
        LOGGER.setLevel(style.minLevel.julLevel);
        debugEnabled = style.minLevel == Level.DEBUG;
    }

    /** Hands each line to the writer. */
    private static final class WriterHandler extends Handler {
        private final Options options;

        WriterHandler(Options style) {
            this.options = style;
        }

        @Override
        public void publish(LogRecord r) {
            if (isLoggable(r)) {
                Object[] fields = r.getParameters() == null ? new Object[0] : r.getParameters();
                String text = r.getThrown() == null ? r.getMessage() : r.getMessage() + ": " + r.getThrown();
                WRITER.write(Log.format(options, r.getMillis(), Level.of(r.getLevel()), text, fields));
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    /** Before the process ends: its last lines are written if their reader takes them. */
    static void flush() {
        WRITER.flush(FLUSH_TIMEOUT_MS);
    }

    /** Whether lines of the debug level are written. */
    static boolean isDebugEnabled() {
        return debugEnabled;
    }

    static void info(String text) {
        event(Level.INFO, text);
    }

    static void warn(String text) {
        event(Level.WARN, text);
    }

    /** {@code fields}: names and values in turn; the plain form leaves them out, since the words say it. */
    static void event(Level level, String text, Object... fields) {
        LogRecord r = new LogRecord(level.julLevel, text);
        r.setLoggerName(LOGGER.getName());
        r.setParameters(fields);
        LOGGER.log(r);
    }

    static String format(Options style, long atMs, Level level, String text, Object... fields) {
        return switch (style.format) {
            case PLAIN -> "rushproxy: " + text + "\n";
            case TEXT -> formatText(style, atMs, level, text, fields);
            case JSON -> formatJson(style, atMs, level, text, fields);
        };
    }

    private static String formatText(Options style, long atMs, Level level, String text, Object... fields) {
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
                appendQuoted(line, value);
            }
        }
        return line.append('\n').toString();
    }

    private static String formatJson(Options style, long atMs, Level level, String text, Object... fields) {
        StringBuilder line = new StringBuilder(96 + text.length());
        line.append("{\"time\":\"")
                .append(Instant.ofEpochMilli(atMs))
                .append("\",\"level\":\"")
                .append(level.name().toLowerCase(Locale.ROOT))
                .append("\",\"node\":");
        appendQuoted(line, style.node);
        line.append(",\"text\":");
        appendQuoted(line, text);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(',');
            appendQuoted(line, String.valueOf(fields[i]));
            line.append(':');
            if (fields[i + 1] instanceof Number n && !(n instanceof Double d && !Double.isFinite(d))) {
                line.append(n);
            } else {
                appendQuoted(line, String.valueOf(fields[i + 1]));
            }
        }
        return line.append("}\n").toString();
    }

    /** As JSON has it (RFC 8259, section 7). */
    private static void appendQuoted(StringBuilder to, String text) {
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
    static void exception(String what, Throwable e) {
        StringBuilder text = new StringBuilder(what).append(": ").append(e);
        StackTraceElement[] trace = e.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, trace.length); i++) {
            text.append(" at ").append(trace[i]);
        }
        event(Level.ERROR, text.toString(), "exception", e.getClass().getName());
    }
}
