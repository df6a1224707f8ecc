package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Media hosts' processes that die and listen again at their addresses, and networks that reset connections; {@code soak --restarts} plays more. */
@Timeout(120)
class HostRestartTest {
    private static final int HOSTS = 13;
    private static final int DIES_AT_MILLIS = 8_000;
    private static final int[] DOWN_MILLIS = {100, 200, 300, 600, 900};
    private static final int[] DOWN_UNSEEN_MILLIS = {100, 150, 200, 250, 300};
    private static final HostRestarts.GatewayStop OVER_THE_RESTARTS = new HostRestarts.GatewayStop(DIES_AT_MILLIS - 20, 420);
    private static final HostHabits.NetworkResets ALL_EACH_SECOND = new HostHabits.NetworkResets(1_000, true);
    private static final int LEAST_SESSIONS = 100;

    @TempDir
    private Path dir;

    /** Guards against sessions that are kept as playing though their host's process has died, as another listens at its address soon. */
    @Test
    void sessionsOfProcessesThatDieAndListenAgainSoonAreToldInTime() throws Exception {
        StandstillTrial.Outcome outcome = play(HostHabits.USUAL, restarts(DOWN_MILLIS), List.of());
        assertTrue(outcome.endedAtRestarted() >= LEAST_SESSIONS, "hardly a session stood at them");
        assertEquals(0, outcome.endedInVain());
    }

    /** Guards against the same where the gateway stands still meanwhile, so that no connection of its is refused. */
    @Test
    void sessionsOfProcessesThatDieAndListenAgainWhileTheGatewayStandsStillAreToldInTime() throws Exception {
        StandstillTrial.Outcome outcome = play(HostHabits.USUAL, restarts(DOWN_UNSEEN_MILLIS), List.of(OVER_THE_RESTARTS));
        assertTrue(outcome.endedAtRestarted() >= LEAST_SESSIONS, "hardly a session stood at them");
    }

    /** Guards against sessions that are ended as their host's connections are reset, all at once, though it lives. */
    @Test
    void sessionsOfHostsWhoseConnectionsTheNetworkResetsPlayOn() throws Exception {
        StandstillTrial.Outcome outcome = play(new HostHabits(0, 0, false, ALL_EACH_SECOND), List.of(), List.of());
        assertTrue(outcome.ends() >= LEAST_SESSIONS, "hardly a session ended");
        assertEquals(0, outcome.endedInVain());
    }

    private static List<HostRestarts.Restart> restarts(int[] downMillis) {
        List<HostRestarts.Restart> restarts = new ArrayList<>();
        for (int i = 0; i < downMillis.length; i++) {
            restarts.add(new HostRestarts.Restart(DIES_AT_MILLIS, i, downMillis[i], 0, false));
        }
        return restarts;
    }

    private StandstillTrial.Outcome play(HostHabits habits, List<HostRestarts.Restart> restarts, List<HostRestarts.GatewayStop> gatewayStops)
        throws Exception {
        HostRestarts all = new HostRestarts(restarts, HostRestarts.USUAL_REQUESTS_PER_SECOND, gatewayStops);
        StandstillPlan plan = new StandstillPlan(1, TrialConfig.MAX_DESCRIPTORS, 4, true, HOSTS, List.of(), List.of(), List.of(), 0, 0,
            StandstillPlan.WHOLE_CORE_PERCENT, habits, all);
        StandstillTrial.Outcome outcome = StandstillTrial.run(plan, dir);
        System.out.println(outcome.ends() + " ends, " + outcome.endedAtRestarted() + " at hosts that restarted, " + outcome.endedInVain()
            + " ended in vain, " + outcome.served() + " of " + outcome.requests() + " served");
        assertEquals("", String.join("\n", outcome.violations()));
        return outcome;
    }
}
