package cypressvalve.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SharedLimitTest {
    private static final long MOST = 3_500_000;
    private static final long LARGE = 16_000;
    private static final long USUAL = 1_100;

    private static long fill(SharedLimit limit) {
        long own = 0;
        while (limit.admits(own, LARGE)) {
            limit.add(LARGE);
            own += LARGE;
        }
        return own;
    }

    /** Guards against holders that leave nothing for one that holds little, however many they are. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 24, 100, 500})
    void whoeverHoldsLittleHasRoomBesideAnyNumberThatTakeAllTheyCan(int greedy) {
        SharedLimit limit = new SharedLimit(MOST);
        for (int i = 0; i < greedy; i++) {
            fill(limit);
        }
        assertTrue(limit.held() <= MOST);
        assertTrue(limit.admits(0, USUAL), "free " + (MOST - limit.held()));
    }

    @ParameterizedTest
    @ValueSource(longs = {LARGE, USUAL})
    void oneAloneMayHoldTwoThirds(long more) {
        SharedLimit limit = new SharedLimit(MOST);
        long own = 0;
        while (limit.admits(own, more)) {
            limit.add(more);
            own += more;
        }
        assertTrue(own > MOST * 2 / 3 - 2 * more && own <= MOST * 2 / 3, "holds " + own);
        assertTrue(limit.allows(own));
        limit.add(-own);
        assertEquals(0, limit.held());
    }

    @ParameterizedTest
    @ValueSource(longs = {LARGE, USUAL})
    void whoHoldsMoreThanItsPartAsOthersCameIsNotToKeepIt(long more) {
        SharedLimit limit = new SharedLimit(MOST);
        long own = fill(limit);
        limit.add(MOST - limit.held() - more);
        assertFalse(limit.allows(own));
        assertTrue(limit.allows(more));
    }
}
