package cypressvalve.diagnostics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.diagnostics.RequestInvariants.Violation;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RequestInvariantsTest {
    private final RequestInvariants invariants = new RequestInvariants(new EventLog(16));

    @Test
    void oneAttemptAfterTheOtherAndOneAnswerViolateNothing() {
        invariants.received("aa");
        assertTrue(invariants.maySend("aa", 1, true));
        invariants.sent("aa", 1);
        invariants.over("aa");
        assertTrue(invariants.maySend("aa", 2, true));
        invariants.sent("aa", 2);
        assertTrue(invariants.answer("aa"));
        invariants.closing(List.of("aa"));
        invariants.ending();
        assertEquals(Map.of(), invariants.counts());
    }

    @Test
    void anAttemptIsRefusedForAnEndedRequestBesideAnotherAndAtAHostThatDrains() {
        invariants.received("aa");
        invariants.sent("aa", 1);
        assertFalse(invariants.maySend("aa", 2, true));
        invariants.over("aa");
        assertFalse(invariants.maySend("aa", 2, false));
        invariants.cancelled("aa");
        assertFalse(invariants.maySend("aa", 2, true));
        assertEquals(Map.of(Violation.SECOND_ATTEMPT_OUT, 1L, Violation.ATTEMPT_AT_HOST_NOT_SERVING, 1L,
            Violation.ATTEMPT_AFTER_END, 1L), invariants.counts());
    }

    @Test
    void aSecondAnswerAndAnEndOverAnOpenRequestAreCounted() {
        invariants.received("aa");
        invariants.answer("aa");
        assertFalse(invariants.answer("aa"));
        invariants.received("bb");
        invariants.closing(List.of("bb"));
        invariants.received("cc");
        invariants.ending();
        assertEquals(Map.of(Violation.SECOND_ANSWER, 1L, Violation.CLOSED_OVER_OPEN_REQUEST, 1L,
            Violation.ENDED_WITH_OPEN_REQUEST, 1L), invariants.counts());
    }

    /** Guards against ends that are owed and dropped without anybody's noticing. */
    @Test
    void anEndThatIsDroppedUntoldAndAHostThatIsDecidedOnTooLateAreCounted() {
        invariants.endGivenUp("aa", true, true);
        invariants.endGivenUp("aa", false, false);
        invariants.hostDecided(1, 8_000_000_000L);
        assertEquals(Map.of(), invariants.counts());
        invariants.endGivenUp("aa", false, true);
        invariants.hostDecided(1, 8_100_000_000L);
        assertEquals(Map.of(Violation.END_NOT_TOLD, 1L, Violation.HOST_DECIDED_LATE, 1L), invariants.counts());
    }
}
