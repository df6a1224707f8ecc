package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a media host counts as lost, with looks that come late, in simulated time. */
class LifelineTest {
    private static final long MILLI = 1_000_000;
    private static final long CONNECT_TIMEOUT = 250 * MILLI;
    private static final long LOOK = 250 * MILLI;
    /** The protocol's 8 s for an end that nobody can say, less a look's lateness for telling it. */
    private static final long OWED = 8_000 * MILLI;

    /** The machine vanishes at 0; every look and every time-out comes so much late. Returns when it counts as lost. */
    private static long lostAt(long late) {
        Lifeline lifeline = new Lifeline(0, CONNECT_TIMEOUT);
        long unreachedAt = Long.MAX_VALUE;
        for (long now = LOOK + late; now < 20_000 * MILLI; now += LOOK + late) {
            if (unreachedAt <= now) {
                lifeline.unreached(unreachedAt);
                unreachedAt = Long.MAX_VALUE;
            }
            switch (lifeline.step(now, true, unreachedAt < Long.MAX_VALUE)) {
                case CONNECT -> {
                    lifeline.began(now);
                    unreachedAt = now + CONNECT_TIMEOUT + late;
                }
                case LOST -> {
                    return now;
                }
                default -> { }
            }
        }
        return Long.MAX_VALUE;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 50, 100, 150, 200, 250, 300, 350, 400, 450})
    void aMachineThatVanishedCountsAsLostInTimeThoughEachLookIsLate(long lateMillis) {
        long lost = lostAt(lateMillis * MILLI);
        assertTrue(lost <= OWED, "lost at " + lost / MILLI);
    }

    /** Guards against a loss that is known too late, as each try waits for a place: no connection is open, and few tries are made. */
    @Test
    void aMachineToWhichTriesAreFewCountsAsLostByTheSecondThatFailsOnceItIsLate() {
        Lifeline lifeline = new Lifeline(0, CONNECT_TIMEOUT);
        for (long triedAt : new long[] {5_000 * MILLI, 6_800 * MILLI}) {
            assertEquals(Lifeline.Step.CONNECT, lifeline.step(triedAt, false, false));
            lifeline.began(triedAt);
            lifeline.unreached(triedAt + CONNECT_TIMEOUT);
        }
        assertEquals(Lifeline.Step.LOST, lifeline.step(7_050 * MILLI, false, false));
    }

    @Test
    void aHostThatWasNotLookedAtForLongIsNotLostByOneTryThatFails() {
        Lifeline lifeline = new Lifeline(0, CONNECT_TIMEOUT);
        lifeline.began(8_000 * MILLI);
        lifeline.unreached(8_250 * MILLI);
        assertEquals(Lifeline.Step.CONNECT, lifeline.step(8_300 * MILLI, false, false));
    }

    @Test
    void aHostThatStandsStillIsKeptAsItsSystemTakesConnections() {
        Lifeline lifeline = new Lifeline(0, CONNECT_TIMEOUT);
        for (long now = LOOK; now < 20_000 * MILLI; now += LOOK) {
            Lifeline.Step step = lifeline.step(now, true, false);
            assertNotEquals(Lifeline.Step.LOST, step);
            if (step == Lifeline.Step.CONNECT) {
                lifeline.connected(now);
            }
        }
    }

    @Test
    void aHostThatAnswersOnItsOpenConnectionIsKeptThoughItIsQuietAndNoNewConnectionComesUp() {
        Lifeline lifeline = new Lifeline(0, CONNECT_TIMEOUT);
        for (long now = LOOK; now < 20_000 * MILLI; now += LOOK) {
            Lifeline.Step step = lifeline.step(now, true, false);
            assertNotEquals(Lifeline.Step.LOST, step, "at " + now / MILLI);
            if (step == Lifeline.Step.TEST) {
                lifeline.heard(now + MILLI);
            }
            lifeline.unreached(now + 2 * MILLI);
        }
    }

    @Test
    void aHostThatSpeaksIsKeptThoughNoNewConnectionComesUp() {
        Lifeline lifeline = new Lifeline(0, CONNECT_TIMEOUT);
        for (long now = LOOK; now < 20_000 * MILLI; now += LOOK) {
            lifeline.heard(now);
            lifeline.unreached(now);
            assertEquals(true, lifeline.step(now, true, false) != Lifeline.Step.LOST);
        }
    }

    /** Guards against a host that is never connected to again as there was no room for a connection once. */
    @Test
    void aTryForWhichThereWasNoRoomIsDueAgain() {
        Lifeline lifeline = new Lifeline(0, CONNECT_TIMEOUT);
        assertEquals(Lifeline.Step.CONNECT, lifeline.step(0, false, false));
        assertEquals(Lifeline.Step.CONNECT, lifeline.step(LOOK, false, false), "none was begun");
        lifeline.began(LOOK);
        assertEquals(Lifeline.Step.NOTHING, lifeline.step(2 * LOOK, false, true));
        assertEquals(Lifeline.Step.CONNECT, lifeline.step(3 * LOOK, false, false), "it was given up before it came up");
    }

    /** What becomes of a try, where one is due. */
    private enum Fate { NO_ROOM, COMES_UP, FAILS, GIVEN_UP }

    /** Guards against marks that stay, whatever became of the tries before: without a connection, or one on its way, the next is due. */
    @Property(tries = 2_000, seed = "44")
    void withoutAConnectionATryIsAlwaysDueOrTheHostLost(@ForAll @Size(min = 1, max = 60) List<Fate> fates) {
        Lifeline lifeline = new Lifeline(0, CONNECT_TIMEOUT);
        long now = 0;
        long without = 0;
        for (Fate fate : fates) {
            now += LOOK;
            Lifeline.Step step = lifeline.step(now, false, false);
            without = step == Lifeline.Step.NOTHING ? without + LOOK : 0;
            assertTrue(without <= 2 * LOOK, "no try for " + without / MILLI + " ms");
            if (step == Lifeline.Step.CONNECT && fate != Fate.NO_ROOM) {
                lifeline.began(now);
                assertEquals(Lifeline.Step.NOTHING, lifeline.step(now, false, true), "one at a time");
                tried(lifeline, fate, now + MILLI);
            }
        }
    }

    /** The connection is gone again at the next look, however it went. */
    private static void tried(Lifeline lifeline, Fate fate, long now) {
        switch (fate) {
            case COMES_UP -> lifeline.connected(now);
            case FAILS -> lifeline.unreached(now);
            default -> { } // It was closed before it came up: nothing is told.
        }
    }
}
