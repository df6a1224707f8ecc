package cypressvalve.host.rtsp;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Messages for one media host that wait for a connection. What ends sessions at a host that is out of reach is tried again a few times, ever
 * later. Free of I/O and of clocks; times are nanoseconds.
 */
final class OutboundQueue {
    /** More than a host can carry sessions. */
    private static final int MAX_MESSAGES = 512;
    /** From a connection that did not come up to the next, for such messages alone; doubled each time. */
    private static final long RETRY_INTERVAL = 1_000_000_000L;
    private static final int MAX_RETRIES = 4;

    private final ArrayDeque<OutboundMessage> messages = new ArrayDeque<>();
    private int retries;
    private long retryAt = Long.MIN_VALUE / 2;

    /** Whether it was taken; not where too many wait. */
    boolean add(OutboundMessage message) {
        return messages.size() < MAX_MESSAGES && messages.add(message);
    }

    /** The first of them, or null. */
    OutboundMessage poll() {
        return messages.poll();
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** A connection has come up. */
    void connected() {
        retries = 0;
    }

    /** None did: what ends sessions is tried again later, the rest is dropped; after the last retry all is. Returns what ends sessions of that. */
    List<OutboundMessage> unreached(long now) {
        messages.removeIf(message -> !message.ends());
        if (messages.isEmpty() || retries >= MAX_RETRIES) {
            return takeEndings();
        }
        retryAt = now + (RETRY_INTERVAL << retries++);
        return List.of();
    }

    /** Whether a connection is to be tried for what waits. */
    boolean retryDue(long now) {
        return !messages.isEmpty() && now >= retryAt;
    }

    /** Empties the queue; returns what ends sessions, which the caller owes from now on. */
    List<OutboundMessage> takeEndings() {
        List<OutboundMessage> owed = messages.stream().filter(OutboundMessage::ends).toList();
        messages.clear();
        retries = 0;
        return owed;
    }
}
