package rushproxy.lab.scale;

import org.HdrHistogram.Histogram;

/** What each member sends in each second. */
final class TrafficMeter {
    private final ScaleFleet fleet;
    private final long[] bytesBefore;
    private final long[] datagramsBefore;
    private final Histogram bytes = Spread.histogram();
    private final Histogram datagrams = Spread.histogram();

    TrafficMeter(ScaleFleet fleet) {
        this.fleet = fleet;
        bytesBefore = new long[fleet.size()];
        datagramsBefore = new long[fleet.size()];
        reset();
    }

    /** A second is over; members that do not run have no part in it. */
    void second() {
        for (int i = 0; i < bytesBefore.length; i++) {
            if (fleet.up(i)) {
                bytes.recordValue(fleet.bytes(i) - bytesBefore[i]);
                datagrams.recordValue(fleet.datagrams(i) - datagramsBefore[i]);
            }
            bytesBefore[i] = fleet.bytes(i);
            datagramsBefore[i] = fleet.datagrams(i);
        }
    }

    Spread bytes() {
        return Spread.of(bytes);
    }

    Spread datagrams() {
        return Spread.of(datagrams);
    }

    void reset() {
        bytes.reset();
        datagrams.reset();
        for (int i = 0; i < bytesBefore.length; i++) {
            bytesBefore[i] = fleet.bytes(i);
            datagramsBefore[i] = fleet.datagrams(i);
        }
    }
}
