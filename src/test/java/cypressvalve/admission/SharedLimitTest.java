package cypressvalve.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SharedLimitTest {
    private static final long MOST = 3_500_000;

    private final SharedLimit<String> limit = new SharedLimit<>(MOST);

    /** Takes as the front does: whoever pays gives back a piece, and who would pay itself gets nothing. */
    private boolean take(String holder, long piece) {
        Optional<String> payer = limit.payerFor(holder, piece);
        while (payer.isPresent() && !payer.get().equals(holder)) {
            limit.add(payer.get(), -piece);
            payer = limit.payerFor(holder, piece);
        }
        if (payer.isEmpty()) {
            limit.add(holder, piece);
        }
        return payer.isEmpty();
    }

    /** Guards against holders that leave nothing for one that holds little, however many they are and whenever they came. */
    @ParameterizedTest
    @CsvSource({"1,16000", "2,1100", "24,16000", "24,1100", "100,1100", "500,1100", "500,5000"})
    void whoeverHoldsLittleHasRoomBesideAnyNumberThatTookAllTheyCould(int greedy, long piece) {
        for (int i = 0; i < greedy; i++) {
            while (take("greedy " + i, piece)) {
                assertTrue(limit.held() <= MOST);
            }
        }
        assertTrue(take("usual", piece));
        assertTrue(limit.held() <= MOST);
    }

    @Test
    void whoHoldsTheMostPaysForOneThatWouldHoldHalfOfItAtMost() {
        limit.add("a", MOST);
        assertEquals(Optional.of("a"), limit.payerFor("a", 1));
        assertEquals(Optional.of("a"), limit.payerFor("b", MOST / 2));
        assertEquals(Optional.of("b"), limit.payerFor("b", MOST / 2 + 1));
    }

    @Test
    void nobodyPaysWhileThereIsRoom() {
        limit.add("a", MOST - 1);
        assertEquals(Optional.empty(), limit.payerFor("b", 1));
        assertEquals(Optional.empty(), limit.payer());
        limit.add("b", 2);
        assertEquals(Optional.of("a"), limit.payer());
        limit.add("a", 1 - MOST);
        assertEquals(2, limit.held());
    }
}
