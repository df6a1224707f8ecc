package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class UnreadMessagesTest {
    /** As many ends as are kept. */
    private static final int MAX_KEPT = 512;
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
    void anAcknowledgedEndIsReadAndAllBeforeIt() {
        unread.ending(end("aa"), 1);
        unread.ending(end("bb"), 2);
        unread.ending(end("cc"), 3);
        assertEquals(2, unread.acknowledged("bb"));
        assertEquals(UnreadMessages.NONE, unread.acknowledged("dd"));
        assertEquals(List.of("aa", "bb"), unread.readUpTo(2 + 1));
        assertEquals(List.of("cc"), takeEndings());
    }

    /** Guards against a cancel that counts as read by the acknowledgement of an end of the session before it. */
    @Test
    void anAcknowledgementIsTakenForThatOfTheFirstOfTheSession() {
        unread.ending(end("aa"), 1);
        unread.cancelled("aa", 3);
        unread.ending(end("aa"), 5);
        assertEquals(1, unread.acknowledged("aa"));
        assertEquals(List.of("aa"), unread.readUpTo(1 + 1));
        assertEquals(3, unread.acknowledged("aa"));
        assertEquals(List.of(), unread.readUpTo(3 + 1));
        assertEquals(5, unread.acknowledged("aa"));
    }

    /** Guards against the end of a session that is given up, without a word, for the cancel of an attempt. */
    @Test
    void ofTooManyEndsTheOldestIsGivenUpAndToldButForCancelsNone() {
        for (int i = 0; i < MAX_KEPT; i++) {
            assertNull(unread.ending(end("e" + i), i));
        }
        unread.cancelled("aa", MAX_KEPT);
        assertEquals("e0", unread.ending(end("bb"), MAX_KEPT + 1));
        assertEquals(MAX_KEPT, takeEndings().size());
    }
}
