package cypressvalve.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.model.MediaHost;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HandOversTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int MOST = 1_000;
    private static final double LINK_KB = 1_000;
    private static final double LEAST_KB = 100;

    private final List<Session> dropped = new ArrayList<>();
    private final HandOvers handOvers = new HandOvers(MOST, dropped::add);
    private final MediaHost host = new MediaHost(1);

    HandOversTest() {
        host.link = LINK_KB;
    }

    private List<HandOvers.Claim> claims(HandOverSource source, int count, long at) {
        List<HandOvers.Claim> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(handOvers.claim(null, host, source, LEAST_KB, at));
        }
        return all;
    }

    /** Guards against ids made up in thousands that fill what a gateway counts with, or its memory. */
    @Test
    void noMoreCountThanTheLinkCouldCarryAndTheRestAreHeldUpToABound() {
        List<HandOvers.Claim> claims = claims(new HandOverSource(), 10_000, 0);
        assertEquals(20, claims.stream().filter(claim -> claim != null && claim.counted()).count(), "twice the told size of the link");
        assertEquals(MOST, handOvers.unconfirmed());
        assertNull(claims.get(claims.size() - 1));
    }

    /** Guards against honest hand-overs that are refused as others have taken all the room. */
    @Test
    void besideManyThatMakeUpSessionsAnotherHasRoom() {
        for (int i = 0; i < 24; i++) {
            claims(new HandOverSource(), 400, 0);
        }
        int before = dropped.size();
        assertEquals(20, claims(new HandOverSource(), 20, 0).stream().filter(claim -> claim != null).count());
        assertEquals(20, dropped.size() - before, "others make room");
    }

    @Test
    void sessionsThatPlayAreNotDoubtedByATruthfulReportOfHalfTheirSize() {
        claims(new HandOverSource(), 10, 0);
        assertEquals(List.of(), handOvers.contradicted(host, 0.5, 60 * SECOND));
        assertEquals(List.of(), handOvers.contradicted(host, Double.NaN, 60 * SECOND));
    }

    @Test
    void ofWhatAReportSpeaksAgainstThoseOfTheSourceThatNamedTheMostGoFirst() {
        HandOverSource honest = new HandOverSource();
        claims(new HandOverSource(), 15, 0);
        List<HandOvers.Claim> playing = claims(honest, 4, 0);
        List<Session> contradicted = handOvers.contradicted(host, 0.4, 3 * SECOND);
        assertEquals(11, contradicted.size(), "1,900 kB are named, 800 may stand");
        assertTrue(playing.stream().allMatch(HandOvers.Claim::counted));
        assertEquals(19, handOvers.unconfirmed(), "they are held all the same");
    }

    @Test
    void aReportThatCannotShowItYetSpeaksAgainstNothing() {
        claims(new HandOverSource(), 15, 0);
        assertEquals(List.of(), handOvers.contradicted(host, 0, 2 * SECOND - 1));
        assertFalse(handOvers.contradicted(host, 0, 2 * SECOND).isEmpty());
    }

    @Test
    void whatIsOverOrConfirmedMakesRoomForOthers() {
        HandOverSource source = new HandOverSource();
        List<HandOvers.Claim> claims = claims(source, 50, 0);
        claims.forEach(handOvers::over);
        assertEquals(0, handOvers.unconfirmed());
        assertEquals(20, claims(source, 20, 0).stream().filter(HandOvers.Claim::counted).count());
    }
}
