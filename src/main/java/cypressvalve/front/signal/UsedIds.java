package cypressvalve.front.signal;

/**
 * Ids of set-ups, none of which is used twice. Those for which an attempt has left are remembered apart: a client that sends set-ups
 * without end under ever new ids must not make the gateway forget them. Free of I/O and clocks; times are nanoseconds.
 */
final class UsedIds {
    private final RecentIds taken;
    private final RecentIds sent;

    /** @param kept how long an id is remembered */
    UsedIds(long kept) {
        taken = new RecentIds(kept);
        sent = new RecentIds(kept);
    }

    /** A set-up with that id was taken. */
    void taken(long id, long now) {
        taken.add(id, now);
    }

    /** An attempt of it has left. */
    void sent(long id, long now) {
        sent.add(id, now);
    }

    boolean contains(long id) {
        return taken.contains(id) || sent.contains(id);
    }

    /** Forgets those that are too old. */
    void expire(long now) {
        taken.expire(now);
        sent.expire(now);
    }
}
