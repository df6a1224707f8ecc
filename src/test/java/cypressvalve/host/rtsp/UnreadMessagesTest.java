package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class UnreadMessagesTest {
    private final UnreadMessages unread = new UnreadMessages();

    private static OutboundMessage end(String session) {
        return new OutboundMessage(session, new byte[0], true);
    }

    private List<String> takeEndings() {
        return unread.takeEndings().stream().map(OutboundMessage::session).toList();
    }

    @Test
    void whatStandsBeforeAnAnsweredMessageIsReadAndWhatStandsBehindItIsOwed() {
        assertNull(unread.ending(end("aa"), 1));
        unread.cancelled("bb", 2);
        assertNull(unread.ending(end("cc"), 4));
        unread.cancelled("dd", 5);
        assertEquals(List.of("aa"), unread.readUpTo(3));
        assertEquals(List.of("cc"), takeEndings());
        assertEquals(List.of("dd"), unread.takeCancels());
        assertEquals(List.of(), takeEndings(), "the caller owes them");
    }

    /** Guards against cancels that are forgotten with time while their host stands still. */
    @Test
    void aCancelStaysOwedUntilItsHostHasReadItOrItsAttemptIsOver() {
        unread.cancelled("aa", 1);
        unread.cancelled("bb", 2);
        assertTrue(unread.forgetCancel("aa"));
        assertFalse(unread.forgetCancel("aa"));
        assertEquals(List.of("bb"), unread.takeCancels());
    }

    @Test
    void anAcknowledgedEndIsRead() {
        unread.ending(end("aa"), 1);
        unread.ending(end("bb"), 2);
        assertEquals(List.of("bb"), unread.acknowledged("bb"));
        assertEquals(List.of("aa"), takeEndings());
    }
}
