package cypressvalve.front.signal;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UsedIdsTest {
    private static final long KEPT = 30;

    /** Guards against an id that runs twice, as its first use is forgotten under a flood of others. */
    @Test
    void anIdForWhichAnAttemptHasLeftIsNotForgottenUnderAFlood() {
        UsedIds ids = new UsedIds(KEPT);
        ids.taken(7, 0);
        ids.sent(7, 0);
        for (long other = 100; other < 100_000; other++) {
            ids.taken(other, 1);
        }
        assertTrue(ids.contains(7));
        ids.expire(KEPT + 2);
        assertFalse(ids.contains(7));
    }
}
