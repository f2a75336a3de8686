package rushproxy.lab.world;

/**
 * The interval in which a byte arrived at this machine, in microseconds of a run.
 *
 * @param earliestUs the byte did not arrive before this time
 * @param latestUs   the byte had arrived by this time
 */
record ArrivalTime(long earliestUs, long latestUs) {
    /** An exact time, used when only the time of the read is known. */
    static ArrivalTime exactly(long us) {
        return new ArrivalTime(us, us);
    }
}
