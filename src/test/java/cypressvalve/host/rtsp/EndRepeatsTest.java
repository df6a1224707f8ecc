package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EndRepeatsTest {
    private final EndRepeats repeats = new EndRepeats(0);

    /** Guards against taking a connection that the host may have taken before for the next one that is opened. */
    @Test
    void aConnectionThatWasBegunBeforeAnotherEndedIsNotTheNextOne() {
        repeats.ended(20);
        repeats.connected(10);
        assertTrue(repeats.awaited());
        repeats.connected(30);
        assertFalse(repeats.awaited());
    }
}
