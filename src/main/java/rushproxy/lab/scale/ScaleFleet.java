package rushproxy.lab.scale;

import rushproxy.fleet.member.Member;

/**
 * A fleet of members that a scale run drives, by their numbers from 0 on. One thread: it is {@link #runUntil} that lets time
 * pass, and nothing happens between its calls.
 */
interface ScaleFleet extends AutoCloseable {
    int size();

    /** Microseconds since the fleet was made. */
    long us();

    /** Lets members tick and hear each other until then. */
    void runUntil(long us);

    /** Starts a member's process anew, with nothing from the one before. */
    void start(int member);

    /** It says nothing any more, and hears nothing. */
    void kill(int member);

    /** It tells that it leaves. */
    void leave(int member);

    boolean up(int member);

    /** For how long its process has been up, in microseconds. */
    long upForUs(int member);

    /** How {@code at} sees {@code of}; null where it knows nothing of it. */
    Member.State state(int at, int of);

    /** While it is on nothing passes between the first region and the others. */
    void cutFirstRegion(boolean on);

    /** Bytes that it has sent so far, IP's and UDP's headers with them. */
    long bytes(int member);

    long datagrams(int member);

    /** Why the figures are void, since the host could not keep time; null where it could. */
    String lateness();

    @Override
    void close();
}
