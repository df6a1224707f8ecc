package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Seeded trials of a gateway under hundreds of sessions, whose media hosts are stopped and go on; {@code soak --standstill} plays more. */
@Timeout(120)
class StandstillTest {
    private static final int LEAST_ENDS = 500;

    @TempDir
    private Path dir;

    /** Guards against ends that hosts say on connections which the gateway closed while they stood still, and on no others. */
    @ParameterizedTest
    @ValueSource(longs = {10, 12})
    void endsOfHostsThatWereStoppedAreToldInTime(long seed) throws Exception {
        assertAllTold(seed, StandstillPlan.draw(seed));
    }

    /** Guards against a loop that is kept from its sockets by what crowds bring: ends unread for seconds, connections given up that had come up. */
    @ParameterizedTest
    @ValueSource(longs = 301)
    void endsAreToldInTimeThoughCrowdsComeToAGatewayOnPartOfACore(long seed) throws Exception {
        assertAllTold(seed, StandstillPlan.drawCrowded(seed));
    }

    private void assertAllTold(long seed, StandstillPlan plan) throws Exception {
        StandstillTrial.Outcome outcome = StandstillTrial.run(plan, dir);
        System.out.println(seed + ": " + outcome.ends() + " ends, " + outcome.served() + " of " + outcome.requests() + " served, " + outcome.closes());
        assertEquals("", String.join("\n", outcome.violations()));
        assertTrue(outcome.ends() >= LEAST_ENDS, "hardly a session ended");
    }
}
