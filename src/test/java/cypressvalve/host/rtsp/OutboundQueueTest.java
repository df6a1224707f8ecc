package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class OutboundQueueTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int MANY = 600;
    private final OutboundQueue queue = new OutboundQueue();

    private static OutboundMessage message(String session, boolean ends) {
        return new OutboundMessage(session, new byte[0], ends);
    }

    /** Guards against ends that wait for a host that is reached again while set-ups' failed connections have put off the next try. */
    @Test
    void connectionsThatFailBeforeTheNextTryIsDuePutItOffNoFurther() {
        queue.add(message("aa", true));
        queue.unreached(0);
        for (long at = 1; at < SECOND; at += SECOND / 10) {
            queue.unreached(at);
        }
        assertFalse(queue.retryDue(SECOND - 1));
        assertTrue(queue.retryDue(SECOND));
    }

    /** Guards against ends that are given up as their host is out of reach for long. */
    @Test
    void whatEndsSessionsStaysOwedHoweverLongItsHostIsOutOfReach() {
        queue.add(message("aa", true));
        queue.add(message("bb", false));
        long at = 0;
        for (int i = 0; i < 20; i++) {
            queue.unreached(at);
            at += 4 * SECOND;
            assertTrue(queue.retryDue(at), "after " + i);
        }
        assertEquals(List.of("aa"), queue.takeEndings().stream().map(OutboundMessage::session).toList());
        assertFalse(queue.owesEndings());
    }

    @Test
    void whatEndsASessionHasRoomWhereOtherMessagesWait() {
        for (int i = 0; i < MANY; i++) {
            queue.add(message("aa", false));
        }
        assertTrue(queue.add(message("bb", true)));
        assertTrue(queue.owesEndings());
    }
}
