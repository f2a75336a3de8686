package rushproxy.lab.world;

/**
 * When a byte came to this machine, in microseconds of a run.
 *
 * @param earliestUs it did not come before
 * @param latestUs   it had come by then
 */
record ArrivalTime(long earliestUs, long latestUs) {
    /** Where nothing but the time of its read is known. */
    static ArrivalTime exactly(long us) {
        return new ArrivalTime(us, us);
    }
}
