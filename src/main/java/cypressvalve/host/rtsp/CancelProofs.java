package cypressvalve.host.rtsp;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a media host has shown to have read of one connection. It reads a connection in order, so that its answer to a message
 * proves that every cancel written before that message was read. Free of I/O and clocks.
 *
 * @param <A> a cancelled attempt
 */
final class CancelProofs<A> {
    private long written;
    /** Cancelled attempts whose cancel may be unread, by the position of the cancel, the oldest first. */
    private final Map<A, Long> pending = new LinkedHashMap<>();

    /** A message that the host answers is written now; returns its position on the connection. */
    long written() {
        return ++written;
    }

    /** The attempt's cancel is written now; returns its position. */
    long cancelled(A attempt) {
        pending.put(attempt, ++written);
        return written;
    }

    /** The attempt no longer waits for proof. */
    void forget(A attempt) {
        pending.remove(attempt);
    }

    /** Whether a cancel may be unread. */
    boolean waiting() {
        return !pending.isEmpty();
    }

    /** The host has answered the message at that position; returns the attempts that are proved over by it. */
    List<A> answered(long position) {
        List<A> proved = new ArrayList<>();
        for (Iterator<Map.Entry<A, Long>> i = pending.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<A, Long> cancel = i.next();
            if (cancel.getValue() < position) {
                proved.add(cancel.getKey());
                i.remove();
            }
        }
        return proved;
    }

    /** The host has ended the connection; returns all attempts that waited. */
    List<A> ended() {
        List<A> proved = new ArrayList<>(pending.keySet());
        pending.clear();
        return proved;
    }
}
