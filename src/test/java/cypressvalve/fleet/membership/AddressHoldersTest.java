package cypressvalve.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.host.HostAddress;
import java.util.Set;
import org.junit.jupiter.api.Test;

class AddressHoldersTest {
    private static final long LATE_START = 1_700_000_000_000_000_000L;
    private static final HostAddress OLD = new HostAddress(1, "10.0.0.1", 5070);
    private static final HostAddress NEW = new HostAddress(2, "10.0.0.1", 5070);
    private static final HostAddress ELSEWHERE = new HostAddress(1, "10.0.0.2", 5070);

    private final AddressHolders holders = new AddressHolders();

    private void assertNewHolds() {
        assertTrue(holders.holds(NEW));
        assertFalse(holders.holds(OLD));
    }

    @Test
    void oneThatIsNamedAtTheAddressOfAnotherHoldsItWhateverTheListSaysOfTheOther() {
        holders.named(OLD, 0, true);
        assertTrue(holders.holds(OLD));
        holders.named(NEW, LATE_START, true);
        assertNewHolds();
        holders.named(OLD, 0, false);
        assertNewHolds();
    }

    @Test
    void inAWholeListTheirOrderSaysNothingWhereAStartIsTold() {
        holders.named(NEW, LATE_START, true);
        holders.named(OLD, 0, true);
        assertNewHolds();
    }

    @Test
    void ofTwoWithoutAStartTheOneThatCameLastHoldsItThoughTheOtherIsNamedAgain() {
        holders.named(OLD, 0, true);
        holders.named(NEW, 0, true);
        holders.named(OLD, 0, false);
        assertNewHolds();
    }

    @Test
    void oneThatStartsAnewAtItsAddressOrAtAnotherHoldsThat() {
        holders.named(OLD, 0, true);
        holders.named(NEW, LATE_START, true);
        holders.named(ELSEWHERE, 0, true);
        assertTrue(holders.holds(ELSEWHERE));
        holders.named(OLD, LATE_START + 1, true);
        assertTrue(holders.holds(OLD));
        assertFalse(holders.holds(NEW));
    }

    @Test
    void addressesOfForgottenHostsAreFree() {
        holders.named(NEW, LATE_START, true);
        holders.keep(Set.of(1L));
        assertTrue(holders.holds(OLD));
    }
}
