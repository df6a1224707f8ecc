package cypressvalve.session;

import cypressvalve.host.HostAddress;
import cypressvalve.model.Verdict;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ends of sessions that may come before what they belong to: a media host says an end on any connection, and connections are read
 * in any order. Kept until the session's answer is read or it is handed over, by session and the host's address, as a new host may hold
 * that under another id. Ends of sessions that were held are kept, too, as a hand-over may cross them. Free of I/O and clocks; times are
 * nanoseconds.
 */
final class SessionEnds {
    /** Longer than any attempt is out, and than a start takes until what stands has been handed over. */
    private static final long KEPT_NANOS = 30_000_000_000L;
    private static final int MAX_KEPT = 4096;

    private record End(Verdict verdict, long at) { }

    /** The oldest first. */
    private final Map<String, End> ends = new LinkedHashMap<>();

    private static String key(HostAddress host, String session) {
        return host.host() + ":" + host.port() + " " + session;
    }

    /** Keeps an end; a later one of the same session counts. */
    void keep(HostAddress host, String session, Verdict verdict, long now) {
        String key = key(host, session);
        ends.remove(key);
        ends.put(key, new End(verdict, now));
        for (Iterator<End> oldest = ends.values().iterator(); oldest.hasNext(); ) {
            if (now - oldest.next().at <= KEPT_NANOS && ends.size() <= MAX_KEPT) {
                return;
            }
            oldest.remove();
        }
    }

    /** A set-up leaves for that host: what was said before is not the end of what it leads to. */
    void forget(HostAddress host, String session) {
        ends.remove(key(host, session));
    }

    /** How the session ended at that host, as far as was said; null if it stands. */
    Verdict of(HostAddress host, String session) {
        End end = ends.get(key(host, session));
        return end == null ? null : end.verdict;
    }
}
