package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.host.rtsp.ConnectionBudget.Purpose;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which connections to media hosts are given up where there is room for no more. */
class ConnectionBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long LONG_AGO = 10 * SECOND;
    private final ConnectionBudget<Connection> budget = new ConnectionBudget<>(2);

    /** An unused connection of a host. */
    private static final class Connection implements ConnectionBudget.Held {
        private final ConnectionLife life = new ConnectionLife(0);
        private final boolean carriesSessions;
        private boolean isOnlyOne;
        private boolean inUse;
        private boolean hasUnended;
        private boolean hasQueued;
        private boolean isSilent;

        private Connection(boolean carriesSessions) {
            this.carriesSessions = carriesSessions;
            life.cameUp(1);
        }

        @Override
        public ConnectionLife life() {
            return life;
        }

        @Override
        public boolean hostCarriesSessions() {
            return carriesSessions;
        }

        @Override
        public boolean mayMakeRoom() {
            return !inUse && !life.isGivenUp();
        }

        @Override
        public boolean isOnlyOneOfHost() {
            return isOnlyOne;
        }

        @Override
        public boolean listenedLongEnough() {
            return true;
        }

        @Override
        public boolean hostHasUnendedFor(long nanos) {
            return hasUnended;
        }

        @Override
        public boolean hostHasQueued() {
            return hasQueued;
        }

        @Override
        public boolean mayHoldUnsaidEnds() {
            return false;
        }

        @Override
        public boolean hostIsSilent() {
            return isSilent;
        }
    }

    private Connection opened(boolean carriesSessions) {
        Connection connection = new Connection(carriesSessions);
        budget.opened(connection);
        return connection;
    }

    private Connection givenUp(boolean carriesSessions) {
        Connection connection = opened(carriesSessions);
        connection.life.giveUp(2);
        budget.givenUp(connection);
        return connection;
    }

    @Test
    void whatTheHostsProcessMayNotHaveTakenIsGivenUpLastOfThoseWithSessions() {
        Connection waits = opened(true);
        Connection taken = opened(true);
        taken.life.heard(SECOND);
        assertEquals(Optional.of(taken), budget.leastNeeded(Purpose.SEND));
        taken.life.giveUp(SECOND);
        assertEquals(Optional.of(waits), budget.leastNeeded(Purpose.SEND));
    }

    @Test
    void aHostsOnlyConnectionIsGivenUpAfterThoseOfHostsWithSeveral() {
        Connection onlyOne = opened(true);
        onlyOne.isOnlyOne = true;
        onlyOne.life.heard(1);
        Connection oneOfSeveral = opened(true);
        oneOfSeveral.life.heard(SECOND);
        assertEquals(Optional.of(oneOfSeveral), budget.leastNeeded(Purpose.SEND));
        oneOfSeveral.life.giveUp(SECOND);
        assertEquals(Optional.of(onlyOne), budget.leastNeeded(Purpose.SEND));
    }

    /** Guards against hosts that are left without a connection for seconds, as a set-up to another one took the place of their last. */
    @Test
    void aHostsOnlyConnectionStaysWhileAnotherHostHasSeveralThoughTheseAreInUse() {
        Connection onlyOne = opened(true);
        onlyOne.isOnlyOne = true;
        opened(true).inUse = true;
        assertEquals(Optional.empty(), budget.leastNeeded(Purpose.SEND));
        assertEquals(Optional.empty(), budget.leastNeeded(Purpose.LISTEN));
        assertEquals(Optional.of(onlyOne), budget.leastNeeded(Purpose.REACH));
    }

    /** Guards against vanished hosts' connections that hold all places of those that end, so that no other host can be looked at. */
    @Test
    void oneThatItsHostNeverTookGoesForAHostLongOutOfReachOnceForEachSilence() {
        Connection neverTaken = givenUp(true);
        assertEquals(Optional.empty(), budget.closable(Purpose.REACH, LONG_AGO));
        assertEquals(Optional.empty(), budget.closable(Purpose.REACH_AT_LAST, 2 + ConnectionBudget.END_TIMEOUT));
        assertEquals(Optional.of(neverTaken), budget.closable(Purpose.REACH_AT_LAST, LONG_AGO));
        neverTaken.isSilent = true;
        assertEquals(Optional.empty(), budget.closable(Purpose.REACH_AT_LAST, LONG_AGO));
    }

    /** Guards against ends that are said twice, on two connections that were both given up. */
    @Test
    void theNextConnectionOfAHostThatIsSilentIsNotGivenUp() {
        Connection next = opened(true);
        next.isSilent = true;
        assertEquals(Optional.empty(), budget.leastNeeded(Purpose.SEND));
        assertEquals(Optional.empty(), budget.leastNeeded(Purpose.REACH));
        next.isSilent = false;
        assertEquals(Optional.of(next), budget.leastNeeded(Purpose.REACH));
    }

    @Test
    void halfClosedConnectionsBeyondTheirNumberLeaveNoRoom() {
        for (int i = 0; i < 2 + ConnectionBudget.MAX_ENDING; i++) {
            assertTrue(budget.hasRoom());
            givenUp(true);
        }
        assertFalse(budget.hasRoom());
        assertFalse(budget.mayEndOneMore());
        assertEquals(Optional.empty(), budget.closable(Purpose.SEND, LONG_AGO), "their hosts may yet say an end there");
    }

    @Test
    void aHostThatMayStandStillHasNoMoreOfItsConnectionsHalfClosed() {
        opened(true).hasUnended = true;
        assertEquals(Optional.empty(), budget.leastNeeded(Purpose.SEND));
        Connection harmless = opened(false);
        harmless.hasUnended = true;
        assertEquals(Optional.of(harmless), budget.leastNeeded(Purpose.SEND));
    }

    @Test
    void aHostThatCarriesNoSessionsSaysNoEnds() {
        givenUp(true);
        Connection harmless = givenUp(false);
        assertEquals(Optional.of(harmless), budget.closable(Purpose.SEND, 3));
    }

    @Test
    void aHostThatRunsAndKeepsItsSideOfAConnectionDoesNotKeepItForEver() {
        Connection kept = givenUp(true);
        kept.life.hostRan(1, 3);
        assertEquals(Optional.empty(), budget.closable(Purpose.SEND, LONG_AGO), "it answered what was written before");
        kept.life.hostRan(3, 4);
        assertEquals(Optional.empty(), budget.closable(Purpose.SEND, SECOND));
        assertEquals(Optional.of(kept), budget.closable(Purpose.SEND, LONG_AGO));
    }

    @Test
    void aHostWithSessionsAndNoConnectionIsReachedButNotForOneThatWaitsInAQueue() {
        givenUp(true);
        assertEquals(Optional.empty(), budget.closable(Purpose.REACH, LONG_AGO));
        Connection taken = givenUp(true);
        taken.life.heard(1);
        assertEquals(Optional.empty(), budget.closable(Purpose.REACH, LONG_AGO));
        assertEquals(Optional.of(taken), budget.closable(Purpose.REACH_AT_LAST, LONG_AGO));
        taken.hasQueued = true;
        assertEquals(Optional.empty(), budget.closable(Purpose.LISTEN, LONG_AGO));
        assertEquals(Optional.of(taken), budget.closable(Purpose.REACH, LONG_AGO), "what is said on it is said again on the one in the queue");
    }
}
