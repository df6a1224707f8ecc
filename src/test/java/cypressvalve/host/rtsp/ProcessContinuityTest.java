package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When sessions of before are over, stand, or are in doubt, in simulated time: the host is there at 0, its connection came up at -1. */
class ProcessContinuityTest {
    private static final long MILLI = 1_000_000;
    private static final long LOOK = 250 * MILLI;
    /** The protocol's time for an end that nobody can say, less the time that telling it takes. */
    private static final long OWED = 7_800 * MILLI;
    private static final long OLD_UP_AT = -1;
    private final ProcessContinuity continuity = new ProcessContinuity(0);

    /** When what is in doubt is decided; looks come four times a second. */
    private long decidedAt(boolean olderConnected) {
        for (long now = LOOK; now < 20_000 * MILLI; now += LOOK) {
            if (continuity.decide(now, time -> olderConnected).isPresent()) {
                return now;
            }
        }
        return Long.MAX_VALUE;
    }

    private Optional<ProcessContinuity.Doubt> connectedAgain(long endedMillis, long intactMillis, long begunMillis) {
        assertFalse(continuity.lastEndedByHost(intactMillis * MILLI, endedMillis * MILLI));
        return continuity.cameUp(begunMillis * MILLI, (begunMillis + 1) * MILLI, false);
    }

    @Test
    void aRefusalIsADeathOnlyWhereNoConnectionIsUp() {
        assertFalse(continuity.refused(MILLI, true));
        assertTrue(continuity.refused(2 * MILLI, false));
    }

    /** Guards against a refusal that is read before the ends of the connections of the same death. */
    @Test
    void aRefusalShortlyBeforeTheLastConnectionEndsIsTheSameDeath() {
        continuity.refused(10 * MILLI, true);
        assertTrue(continuity.lastEndedByHost(0, 15 * MILLI));
    }

    @Test
    void aConnectionThatComesUpAtOnceReachesTheSameProcess() {
        assertTrue(connectedAgain(500, 480, 505).isEmpty());
        assertEquals(Long.MAX_VALUE, decidedAt(false));
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 150, 450, 900})
    void whereTheNextComesUpLaterThanAProcessNeedsToStartItsSessionsAreInDoubtAndEndedInTime(long lateMillis) {
        ProcessContinuity.Doubt doubt = connectedAgain(500, 500, 500 + lateMillis).orElseThrow();
        assertEquals(500 * MILLI, doubt.since());
        assertTrue(doubt.boundary() >= (500 + lateMillis) * MILLI);
        assertTrue(decidedAt(false) <= 500 * MILLI + OWED);
        assertFalse(continuity.inDoubt());
    }

    @Test
    void aWordOfASessionOfBeforeSettlesIt() {
        connectedAgain(500, 500, 900);
        assertFalse(continuity.spokeOfSession(950 * MILLI, 1_000 * MILLI), "that began behind it");
        assertTrue(continuity.spokeOfSession(400 * MILLI, 1_000 * MILLI));
        assertEquals(Long.MAX_VALUE, decidedAt(false));
    }

    @Test
    void whatIsReadLateProvesNothingBehindThePollBefore() {
        continuity.heard(OLD_UP_AT, 0, 500 * MILLI);
        assertTrue(connectedAgain(500, 0, 505).isPresent());
    }

    @Test
    void aLaterDoubtDoesNotEndWhatBeganAtTheNewProcessBeforeItsOwnTime() {
        connectedAgain(500, 500, 900);
        continuity.heard(901 * MILLI, 4_000 * MILLI, 4_000 * MILLI);
        ProcessContinuity.Doubt second = connectedAgain(4_100, 4_050, 4_400).orElseThrow();
        assertEquals(4_050 * MILLI, second.since());
        assertEquals(901 * MILLI, continuity.decide(7_500 * MILLI, time -> false).orElseThrow().boundary());
        assertTrue(continuity.decide(7_500 * MILLI, time -> false).isEmpty());
        assertTrue(continuity.inDoubt());
        assertTrue(continuity.spokeOfSession(2_000 * MILLI, 7_600 * MILLI), "the second one is settled by what the first does not concern");
    }

    /** Guards against the loss of sessions at hosts that stand still: their systems take connections, and nobody says anything. */
    @Test
    void whereTheHostOnlyStandsStillNothingIsDecidedBeforeItHasSpoken() {
        continuity.unreached(1_000 * MILLI);
        assertTrue(continuity.cameUp(1_200 * MILLI, 1_201 * MILLI, true).isPresent());
        assertEquals(Long.MAX_VALUE, decidedAt(true));
        assertTrue(continuity.heard(OLD_UP_AT, 20_000 * MILLI, 20_000 * MILLI), "it goes on and answers on the old one");
        assertFalse(continuity.inDoubt());
    }

    @Test
    void whereItWasOutOfReachAndSpeaksOnNewConnectionsAloneItsSessionsAreEndedInTime() {
        continuity.unreached(500 * MILLI);
        continuity.cameUp(1_000 * MILLI, 1_001 * MILLI, true);
        continuity.heard(1_001 * MILLI, 1_100 * MILLI, 1_100 * MILLI);
        assertTrue(decidedAt(true) <= OWED);
    }

    @Test
    void oldConnectionsThatStaySilentBesideANewOneAreDoubtedOnce() {
        assertTrue(continuity.oldOnesAreSilent(100 * MILLI, 600 * MILLI, 1_700 * MILLI).isPresent());
        assertTrue(continuity.oldOnesAreSilent(100 * MILLI, 600 * MILLI, 1_900 * MILLI).isEmpty());
        assertTrue(continuity.spokeOfSession(50 * MILLI, 2_000 * MILLI));
        assertTrue(continuity.oldOnesAreSilent(100 * MILLI, 600 * MILLI, 2_100 * MILLI).isEmpty(), "settled");
        assertTrue(continuity.oldOnesAreSilent(2_100 * MILLI, 2_500 * MILLI, 3_600 * MILLI).isPresent(), "another one");
    }

    /** Guards against doubts without bound, as connections are reset again and again. */
    @Test
    void doubtsAreBoundedAndTheLastConcernsWhatAllDid() {
        for (int i = 1; i <= 1_000; i++) {
            connectedAgain(i * 10L, 0, 100 + i * 10L);
        }
        int decided = 0;
        long boundary = 0;
        for (Optional<ProcessContinuity.Doubt> doubt = continuity.decide(30_000 * MILLI, time -> false); doubt.isPresent();
            doubt = continuity.decide(30_000 * MILLI, time -> false)) {
            boundary = doubt.get().boundary();
            decided++;
        }
        assertTrue(decided < 100);
        assertEquals(10_101 * MILLI, boundary);
    }
}
