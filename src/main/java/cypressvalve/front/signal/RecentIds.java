package cypressvalve.front.signal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Ids of the last while, in bounded memory. Free of I/O and clocks; times are nanoseconds. */
final class RecentIds {
    private static final int MAX_IDS = 4096;

    private final long kept;
    /** With when each was added, the oldest first. */
    private final Map<Long, Long> ids = new LinkedHashMap<>();

    /** @param kept how long an id is remembered */
    RecentIds(long kept) {
        this.kept = kept;
    }

    void add(long id, long now) {
        ids.remove(id);
        ids.put(id, now);
        if (ids.size() > MAX_IDS) {
            Iterator<Long> oldest = ids.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    boolean contains(long id) {
        return ids.containsKey(id);
    }

    /** Forgets it; whether it was there. */
    boolean remove(long id) {
        return ids.remove(id) != null;
    }

    /** Forgets those that were added too long ago. */
    void expire(long now) {
        ids.values().removeIf(at -> now - at > kept);
    }
}
