package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A machine vanishes, its connections stay open and silent, and a new process answers at its address under its id, unsaid by the list. */
@Timeout(60)
class VanishedMachineTest extends GatewayTrial {
    private static final int PATIENCE_MILLIS = 1_000;
    private static final int SESSIONS = 30;
    private static final long GAP_MILLIS = 20;
    /** The protocol's time for an end that could not be said, and its slack. */
    private static final long TOLD_WITHIN_MILLIS = 8_200;

    /** Guards against sessions that are kept as playing, as their host answers on new connections. */
    @ParameterizedTest
    @CsvSource({"1000, 20, true", "1000, 20, false", "1000, 400, true", "3000, 100, true", "1000, 9000, true", "1000, 9000, false"})
    void itsSessionsAreToldInTime(long awayMillis, long gapMillis, boolean mayTestHosts) throws Exception {
        start(3, 900, PATIENCE_MILLIS, mayTestHosts);
        ClientEmulator client = client("client");
        for (int i = 0; i < SESSIONS; i++) {
            client.send(request(PATIENCE_MILLIS));
            TimeUnit.MILLISECONDS.sleep(GAP_MILLIS); // The client's own pace.
        }
        assertTrue(record.await(Event.Kind.ANSWER_SERVED, SESSIONS, MOST_MILLIS), "not all were served");
        MediaHostEmulator vanished = hosts.get(0);
        vanished.vanish();
        sendFor(client, awayMillis, gapMillis);
        vanished.leaveAddress();
        openHost(vanished.name(), vanished.address().getPort());
        sendFor(client, TOLD_WITHIN_MILLIS, gapMillis);
        long over = record.count(Event.Kind.SESSION_OVER);
        assertTrue(over > 0, "no session stood there");
        assertRulesKept();
        assertEquals(over, record.count(Event.Kind.RELEASE_READ), () -> "others were ended, too: " + gateway.log("HOST_RE"));
    }

    private void sendFor(ClientEmulator client, long millis, long gapMillis) throws Exception {
        for (long sent = 0; sent < millis; sent += gapMillis) {
            client.send(request(PATIENCE_MILLIS));
            TimeUnit.MILLISECONDS.sleep(gapMillis); // The client's own pace.
        }
    }
}
