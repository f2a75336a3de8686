package rushproxy.sidecar;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.time.Instant;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Logs to standard error; single requests appear only at the debug level. The {@code log} table of the configuration selects one of
 * three formats: {@code plain}, the message alone; {@code text}, with time, level, node and fields; {@code json}, one object a line.
 * Built on java.util.logging, to which Netty logs as well. Lines are written by {@link AsyncLogWriter}, so logging never blocks.
 */
public final class Log {
    /** Severity of a message, most severe first. */
    public enum Level {
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

    /** The settings of the log. {@code minLevel}: less severe messages are dropped. */
    record Options(Format format, Level minLevel, String node) {
        static final Options DEFAULT = new Options(Format.PLAIN, Level.INFO, "sidecar");
    }

    private static final int MAX_STACK_FRAMES = 4;
    /** How long a terminating process waits for its last lines to be written. */
    private static final long FLUSH_TIMEOUT_MS = 50;

    private static final AsyncLogWriter WRITER = new AsyncLogWriter(System.err);
    private static final Logger ROOT_LOGGER = Logger.getLogger("");
    private static final Logger LOGGER = Logger.getLogger("rushproxy");

    /** Cached, since it is checked for every request. */
    private static boolean debugEnabled;

    static {
        // Otherwise Netty would probe for other logging libraries first.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        configure(Options.DEFAULT);
    }

    private Log() {}

    static void configure(Options options) {
        for (Handler h : ROOT_LOGGER.getHandlers()) {
            ROOT_LOGGER.removeHandler(h);
        }
        Handler handler = new WriterHandler(options);
        handler.setLevel(options.minLevel.julLevel);
        ROOT_LOGGER.addHandler(handler);
        // Libraries log only warnings and errors: Netty would log the failures of single connections.
        ROOT_LOGGER.setLevel(Level.WARN.julLevel);
        LOGGER.setLevel(options.minLevel.julLevel);
        debugEnabled = options.minLevel == Level.DEBUG;
    }

    /** Formats each record and hands it to the writer. */
    private static final class WriterHandler extends Handler {
        private final Options options;

        WriterHandler(Options options) {
            this.options = options;
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

    /** Waits a short time for pending lines to be written. Called before the process ends. */
    public static void flush() {
        WRITER.flush(FLUSH_TIMEOUT_MS);
    }

    static boolean isDebugEnabled() {
        return debugEnabled;
    }

    public static void info(String text) {
        event(Level.INFO, text);
    }

    public static void warn(String text) {
        event(Level.WARN, text);
    }

    /** {@code fields}: alternating names and values. The plain format omits them, since the text contains them. */
    public static void event(Level level, String text, Object... fields) {
        LogRecord r = new LogRecord(level.julLevel, text);
        r.setLoggerName(LOGGER.getName());
        r.setParameters(fields);
        LOGGER.log(r);
    }

    static String format(Options options, long atMs, Level level, String text, Object... fields) {
        return switch (options.format) {
            case PLAIN -> "rushproxy: " + text + "\n";
            case TEXT -> formatText(options, atMs, level, text, fields);
            case JSON -> formatJson(options, atMs, level, text, fields);
        };
    }

    private static String formatText(Options options, long atMs, Level level, String text, Object... fields) {
        StringBuilder line = new StringBuilder(64 + text.length());
        line.append(Instant.ofEpochMilli(atMs))
                .append(' ')
                .append(level)
                .append(' ')
                .append(options.node)
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

    private static String formatJson(Options options, long atMs, Level level, String text, Object... fields) {
        StringBuilder line = new StringBuilder(96 + text.length());
        line.append("{\"time\":\"")
                .append(Instant.ofEpochMilli(atMs))
                .append("\",\"level\":\"")
                .append(level.name().toLowerCase(Locale.ROOT))
                .append("\",\"node\":");
        appendQuoted(line, options.node);
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

    /** Appends a JSON string (RFC 8259, section 7). */
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

    /** Logs an internal error with the top of its stack trace. */
    public static void error(String message, Throwable e) {
        StringBuilder text = new StringBuilder(message).append(": ").append(e);
        StackTraceElement[] trace = e.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, trace.length); i++) {
            text.append(" at ").append(trace[i]);
        }
        event(Level.ERROR, text.toString(), "exception", e.getClass().getName());
    }
}
