package cypressvalve.host.rtsp;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Messages for one media host that wait for a connection. What ends sessions stays owed however long the host is out of reach, and a
 * connection is tried for it again and again. Free of I/O and of clocks; times are nanoseconds.
 */
final class OutboundQueue {
    /** More than a host can carry sessions. */
    private static final int MAX_MESSAGES = 512;
    /** From a connection that did not come up to the next; doubled each time. */
    private static final long RETRY_INTERVAL = 1_000_000_000L;
    private static final long MAX_RETRY_INTERVAL = 4_000_000_000L;

    private final ArrayDeque<OutboundMessage> messages = new ArrayDeque<>();
    private long retryInterval = RETRY_INTERVAL;
    private long retryAt = Long.MIN_VALUE / 2;

    /** Whether it was taken; not where too many wait. */
    boolean add(OutboundMessage message) {
        if (messages.size() >= MAX_MESSAGES && message.ends()) {
            messages.removeIf(waiting -> !waiting.ends());
        }
        return messages.size() < MAX_MESSAGES && messages.add(message);
    }

    /** The first of them, or null. */
    OutboundMessage poll() {
        return messages.poll();
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Whether something waits that ends a session. */
    boolean owesEndings() {
        return messages.stream().anyMatch(OutboundMessage::ends);
    }

    /** A connection has come up. */
    void connected() {
        retryInterval = RETRY_INTERVAL;
    }

    /** None did: what ends sessions is tried again later, the rest is dropped. A connection that was opened before that is due puts it off no further. */
    void unreached(long now) {
        messages.removeIf(message -> !message.ends());
        if (now >= retryAt) {
            retryAt = now + retryInterval;
            retryInterval = Math.min(2 * retryInterval, MAX_RETRY_INTERVAL);
        }
    }

    /** Whether a connection is to be tried for what waits. */
    boolean retryDue(long now) {
        return !messages.isEmpty() && now >= retryAt;
    }

    /** Empties the queue; returns what ends sessions, which the caller owes from now on. */
    List<OutboundMessage> takeEndings() {
        List<OutboundMessage> owed = messages.stream().filter(OutboundMessage::ends).toList();
        messages.clear();
        return owed;
    }
}
