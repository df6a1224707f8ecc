package cypressvalve.host.rtsp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What ends sessions and attempts at a media host, was written to one connection, and is not known to be read: owed again elsewhere once the
 * connection is over. A host reads a connection in order. Free of I/O and clocks.
 */
final class UnreadMessages {
    /** No position. */
    static final long NONE = -1;
    /** More than a host can carry sessions; the oldest of more are given up. */
    private static final int MAX_KEPT = 512;

    /**
     * A TEARDOWN as it was written.
     *
     * @param ending what ends a session that stood; null for an attempt's cancel
     */
    private record Teardown(String session, long position, OutboundMessage ending) {
        private boolean endsSession() {
            return ending != null;
        }
    }

    /** Those not known to be read, in the order in which they were written. */
    private final ArrayDeque<Teardown> teardowns = new ArrayDeque<>();
    /** Cancels by session, with their positions. */
    private final Map<String, Long> cancels = new HashMap<>();

    /** A message that ends a session is written; returns the session whose own is given up for it, or null. */
    String ending(OutboundMessage message, long position) {
        teardowns.add(new Teardown(message.session(), position, message));
        return teardowns.stream().filter(Teardown::endsSession).count() > MAX_KEPT ? giveUpOldestEnding() : null;
    }

    private String giveUpOldestEnding() {
        Teardown oldest = teardowns.stream().filter(Teardown::endsSession).findFirst().orElseThrow();
        teardowns.remove(oldest);
        return oldest.session;
    }

    /** An attempt's cancel is written. */
    void cancelled(String session, long position) {
        cancels.put(session, position);
        teardowns.add(new Teardown(session, position, null));
    }

    /** The attempt's end is owed, though no cancel is written on this connection any more. */
    void owesCancel(String session, long position) {
        cancels.put(session, position);
    }

    /** Whether the end of a session or an attempt may be unread. */
    boolean owesEnds() {
        return !cancels.isEmpty() || teardowns.stream().anyMatch(Teardown::endsSession);
    }

    /** The host has read all that was written before that position; returns the sessions whose ends it has read so. */
    List<String> readUpTo(long position) {
        cancels.values().removeIf(cancel -> cancel < position);
        List<String> ended = teardowns.stream().filter(teardown -> teardown.position < position && teardown.endsSession())
            .map(Teardown::session).toList();
        teardowns.removeIf(teardown -> teardown.position < position);
        return ended;
    }

    /**
     * Where the TEARDOWN stands that the host has acknowledged, or {@link #NONE}. An acknowledgement names its session alone, and hosts need
     * send none: it is taken for that of the first which may be unread, as it may be no other's.
     */
    long acknowledged(String session) {
        return teardowns.stream().filter(teardown -> teardown.session.equals(session)).mapToLong(Teardown::position).findFirst().orElse(NONE);
    }

    /** The cancelled attempt's answer has come; returns whether its cancel was not known to be read. */
    boolean forgetCancel(String session) {
        return cancels.remove(session) != null;
    }

    /** What ends sessions and may be unread; it is owed by the caller from now on. */
    List<OutboundMessage> takeEndings() {
        List<OutboundMessage> owed = teardowns.stream().filter(Teardown::endsSession).map(Teardown::ending).toList();
        teardowns.clear();
        return owed;
    }

    /** Sessions whose attempts' cancels may be unread; they are owed by the caller from now on. */
    List<String> takeCancels() {
        List<String> owed = new ArrayList<>(cancels.keySet());
        cancels.clear();
        return owed;
    }
}
