package cypressvalve.host.rtsp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What ends sessions and attempts at a media host, was written to one connection, and is not known to be read: owed again elsewhere once the
 * connection is over. A host reads a connection in order. Free of I/O and clocks.
 */
final class UnreadMessages {
    /** More than a host can carry sessions; the oldest of more are given up. */
    private static final int MAX_KEPT = 512;

    private record Ending(OutboundMessage message, long position) { }

    private final ArrayDeque<Ending> endings = new ArrayDeque<>();
    /** Cancels by session, with their positions. */
    private final Map<String, Long> cancels = new HashMap<>();

    /** A message that ends a session is written; returns the session whose own is given up for it, or null. */
    String ending(OutboundMessage message, long position) {
        endings.add(new Ending(message, position));
        return endings.size() > MAX_KEPT ? endings.poll().message.session() : null;
    }

    /** An attempt's cancel is written. */
    void cancelled(String session, long position) {
        cancels.put(session, position);
    }

    /** The host has read all that was written before that position; returns the sessions whose ends it has read so. */
    List<String> readUpTo(long position) {
        cancels.values().removeIf(cancel -> cancel < position);
        return take(ending -> ending.position < position);
    }

    /** The host has acknowledged the session's end; returns the session once for each that was not known to be read. */
    List<String> acknowledged(String session) {
        return take(ending -> ending.message.session().equals(session));
    }

    private List<String> take(Predicate<Ending> which) {
        List<String> taken = endings.stream().filter(which).map(ending -> ending.message.session()).toList();
        endings.removeIf(which);
        return taken;
    }

    /** The cancelled attempt's answer has come; returns whether its cancel was not known to be read. */
    boolean forgetCancel(String session) {
        return cancels.remove(session) != null;
    }

    /** What ends sessions and may be unread; it is owed by the caller from now on. */
    List<OutboundMessage> takeEndings() {
        List<OutboundMessage> owed = endings.stream().map(Ending::message).toList();
        endings.clear();
        return owed;
    }

    /** Sessions whose attempts' cancels may be unread; they are owed by the caller from now on. */
    List<String> takeCancels() {
        List<String> owed = new ArrayList<>(cancels.keySet());
        cancels.clear();
        return owed;
    }
}
