package rushproxy.sidecar;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that may have run for clients that have left, and whose class does not allow another run. Each is remembered for
 * some time after its last attempt has ended, the oldest making room where there are many.
 */
final class AbandonedRequests {
    static final long RETENTION_US = 30_000_000;
    static final int MAX_IDS = 8 * 1024;
    /** Clients choose their ids, also long ones. */
    static final int MAX_CHARACTERS = 256 * 1024;

    /** When each was added, the oldest first. */
    private final Map<String, Long> addedUs = new LinkedHashMap<>();

    private int characters;

    void add(String id, long nowUs) {
        removeExpired(nowUs);
        if (addedUs.remove(id) == null) {
            characters += id.length();
        }
        addedUs.put(id, nowUs);
        Iterator<String> oldest = addedUs.keySet().iterator();
        while (addedUs.size() > MAX_IDS || characters > MAX_CHARACTERS) {
            characters -= oldest.next().length();
            oldest.remove();
        }
    }

    boolean contains(String id, long nowUs) {
        removeExpired(nowUs);
        return addedUs.containsKey(id);
    }

    private void removeExpired(long nowUs) {
        Iterator<Map.Entry<String, Long>> entries = addedUs.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Long> oldest = entries.next();
            if (nowUs - oldest.getValue() < RETENTION_US) {
                return;
            }
            characters -= oldest.getKey().length();
            entries.remove();
        }
    }
}
