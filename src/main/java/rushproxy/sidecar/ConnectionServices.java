package rushproxy.sidecar;

/**
 * What all connections of clients share.
 *
 * @param clock     tells the time of the event loop
 * @param memory    what they may hold together
 * @param loopDelay how late the event loop runs
 * @param deadlines when responses are due
 * @param guard     checks the invariants of requests
 * @param tasks     ends connections whose tasks fail
 */
record ConnectionServices(
        Clock clock,
        ConnectionMemory memory,
        EventLoopDelay loopDelay,
        ResponseDeadlines deadlines,
        RequestGuard guard,
        TaskGuard tasks) {}
