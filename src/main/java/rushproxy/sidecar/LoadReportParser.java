package rushproxy.sidecar;

import rushproxy.Balancer.LoadReport;
import rushproxy.wire.LoadValues;

/** Parses load reports of the form {@code TEXT inflight=7, queue=2, util=0.61}. */
final class LoadReportParser {
    private static final String PREFIX = "TEXT ";

    private LoadReportParser() {}

    /** Null if the text is missing or malformed; a malformed report is ignored. */
    static LoadReport parse(String text) {
        if (text == null || !text.startsWith(PREFIX)) {
            return null;
        }
        LoadValues values = new LoadValues();
        for (String pair : text.substring(PREFIX.length()).split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 0) {
                return null;
            }
            double value;
            try {
                value = Double.parseDouble(pair.substring(equals + 1).trim());
            } catch (NumberFormatException e) {
                return null;
            }
            if (!(value >= 0) || Double.isInfinite(value)) {
                return null;
            }
            values.put(pair.substring(0, equals).trim(), value);
        }
        return values.toLoadReport();
    }
}
