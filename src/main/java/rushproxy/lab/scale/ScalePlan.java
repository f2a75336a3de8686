package rushproxy.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A scale run: a fleet and what happens to it.
 *
 * @param members  sidecars in the fleet, all in one membership view
 * @param real     how many of them are processes of the sidecar; with none time is simulated
 * @param services the services that they belong to, in turn
 * @param zones    the zones that they are in, in turn
 * @param regions  the regions that the zones are in, in turn
 * @param loss     part of all datagrams that is lost, 0 to 1
 */
public record ScalePlan(
        int members, int real, int services, int zones, int regions, ScaleEvent event, double loss, long seed) {
    /** The largest fleet that the project is designed for. */
    public static final int MOST_MEMBERS = 7_800;
    /** Processes that this machine's memory and cores carry beside the hollow members. */
    private static final int MOST_REAL = 16;
    /** Files, selectors and sockets that are no member's. */
    private static final int OWN_DESCRIPTORS = 200;
    /** Heap of what one member keeps of another. */
    private static final long BYTES_OF_ONE_IN_VIEW = 480;

    /**
     * Throws where the plan contradicts itself, or would need more than half of this process's heap or more descriptors than it
     * may have.
     */
    public ScalePlan check(long maxHeapBytes, long mostDescriptors) throws ScaleException {
        checkDescriptors(mostDescriptors);
        if (members < 2 || members > MOST_MEMBERS) {
            throw new ScaleException("--members: " + members + " is not between 2 and " + MOST_MEMBERS);
        }
        if (real < 0 || real > Math.min(MOST_REAL, members - 2)) {
            throw new ScaleException("--real: " + real + " is not between 0 and " + Math.min(MOST_REAL, members - 2));
        }
        range("--services", services, members);
        range("--zones", zones, Math.min(members, 255));
        range("--regions", regions, zones);
        if (!(loss >= 0 && loss < 1)) {
            throw new ScaleException("--loss: " + loss + " is no part between 0 and 1");
        }
        if (event == ScaleEvent.REGION_CUT && regions < 2) {
            throw new ScaleException("--event: region-cut needs --regions of 2 and more");
        }
        if (event == ScaleEvent.REGION_CUT && real > 0) {
            throw new ScaleException(
                    "--event: region-cut has to be simulated: nobody holds back the datagrams of real sidecars");
        }
        long needed = BYTES_OF_ONE_IN_VIEW * members * members;
        if (needed > maxHeapBytes / 2) {
            throw new ScaleException("--members: the views of " + members + " need " + (needed >> 20)
                    + " MB, and half of the heap is " + (maxHeapBytes / 2 >> 20) + " MB");
        }
        return this;
    }

    /** Throws where this process may not open as many sockets as the hollow members need. */
    private void checkDescriptors(long most) throws ScaleException {
        if (real > 0 && hollow() + OWN_DESCRIPTORS > most) {
            throw new ScaleException("--members: " + hollow()
                    + " hollow members need as many sockets, and this process may open " + most);
        }
    }

    /** How many descriptors the kernel lets this process have; no bound where it does not tell. */
    public static long mostDescriptors() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
                if (line.startsWith("Max open files")) {
                    String most =
                            line.substring("Max open files".length()).trim().split("\\s+")[0];
                    return most.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(most);
                }
            }
        } catch (IOException e) {
            // Not a machine that tells.
        }
        return Long.MAX_VALUE;
    }

    private static void range(String option, int value, int most) throws ScaleException {
        if (value < 1 || value > most) {
            throw new ScaleException(option + ": " + value + " is not between 1 and " + most);
        }
    }

    /** Members without a process of their own: the first ones. */
    int hollow() {
        return members - real;
    }

    int zoneOf(int member) {
        return member % zones;
    }

    int regionOf(int member) {
        return zoneOf(member) % regions;
    }
}
