package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When what a media host said on a connection may be lost with it. */
class ConnectionLifeTest {
    private final ConnectionLife life = new ConnectionLife(0);

    @Test
    void whatNeverCameUpLosesNothing() {
        life.close();
        assertFalse(life.mayHaveLostWords(false, false));
    }

    @Test
    void onlyAnOrderlyEndByTheHostBehindThisSidesLosesNothing() {
        life.cameUp(1);
        assertTrue(life.mayHaveLostWords(true, false), "it may say more elsewhere, as it ended this one first");
        life.giveUp(2);
        assertFalse(life.mayHaveLostWords(true, false));
        assertTrue(life.mayHaveLostWords(true, true), "a reset");
        assertTrue(life.mayHaveLostWords(false, false), "closed here");
    }

    @Test
    void anOrderlyEndThatWasAskedForAsAProofLosesNothingUnlessWhatCameCouldNotBeRead() {
        life.cameUp(1);
        life.halfClose();
        assertFalse(life.mayHaveLostWords(true, false));
        life.discard();
        assertTrue(life.mayHaveLostWords(true, false), "unreadable");
    }

    @Test
    void statesOnlyMoveDownwards() {
        life.cameUp(1);
        life.discard();
        life.halfClose();
        assertEquals(ConnectionLife.State.DISCARDING, life.state());
        life.close();
        life.discard();
        assertTrue(life.isClosed());
    }
}
