package cypressvalve.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ShutdownScheduleTest {
    private static final long MILLI = 1_000_000L;

    @ParameterizedTest
    @CsvSource({"100, 800", "400, 1100", "1000, 1700", "3000, 3700", "10000, 3700"})
    void requestsAreTakenWhileTheyComeAndAllIsClosedWellBeforeTheEarliestKill(long deadlineMillis, long killMillis) {
        ShutdownSchedule schedule = ShutdownSchedule.of(deadlineMillis * MILLI);
        assertEquals(killMillis * MILLI, schedule.earliestKill());
        assertTrue(schedule.refusesAfter() >= 600 * MILLI, "requests still come on new connections");
        assertTrue(schedule.closesUnusedAfter() >= 600 * MILLI, "so do they on open ones");
        assertTrue(schedule.closesAfter() >= schedule.earliestKill() - 1_000 * MILLI, "ends of sessions are owed within 1 s");
        assertTrue(schedule.answersBy() <= Math.max(650 * MILLI, schedule.earliestKill() - 700 * MILLI));
        assertTrue(schedule.closesAfter() <= Math.max(650 * MILLI, schedule.earliestKill() - 700 * MILLI));
    }

    @Test
    void aLoopThatIsLateRefusesAtOnceAndClosesUnusedConnectionsAsNewOnesEnd() {
        ShutdownSchedule schedule = ShutdownSchedule.of(400 * MILLI);
        assertFalse(schedule.refuses(10 * MILLI, 5 * MILLI));
        assertTrue(schedule.refuses(10 * MILLI, 60 * MILLI));
        assertTrue(schedule.refuses(650 * MILLI, 0));
        assertFalse(schedule.closesUnused(399 * MILLI, 60 * MILLI), "new connections still come");
        assertTrue(schedule.closesUnused(400 * MILLI, 60 * MILLI));
        assertFalse(schedule.closesUnused(600 * MILLI, 5 * MILLI));
    }

    /** Guards against a process that stays for sessions though it can tell no client of their ends, which it owes while it lives. */
    @Test
    void theProcessStaysForSessionsOnlyAsLongAsItCanTellOfTheirEnds() {
        ShutdownSchedule schedule = ShutdownSchedule.of(3_000 * MILLI);
        assertFalse(schedule.mayEnd(2_000 * MILLI, false, true, 1));
        assertFalse(schedule.mayEnd(2_000 * MILLI, false, true, 0), "a client may still connect");
        assertFalse(schedule.mayEnd(schedule.closesAfter(), false, true, 1));
        assertTrue(schedule.mayEnd(schedule.closesAfter(), false, true, 0));
        assertFalse(schedule.mayEnd(schedule.closesAfter(), true, false, 0), "a host is owed something");
        assertTrue(schedule.mayEnd(schedule.endsBy(), true, true, 1));
    }
}
