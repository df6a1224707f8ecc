package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients of sessions that end at a media host as it goes on after standing still are told, whichever connections it knows of. */
@Timeout(60)
class HangingHostTest extends GatewayTrial {
    private static final int SESSIONS = 24;
    /** The users' media hosts stand still for 7.4 s at least. */
    private static final long HANG_MILLIS = 7_400;
    private static final long SESSION_MILLIS = 3_000;
    private static final long GAP_MILLIS = 40;
    private static final int PATIENCE_MILLIS = 1_000;
    /** Over the protocol's 1 s and its slack. */
    private static final long TOLD_WITHIN_MILLIS = 1_200;
    private static final Set<Event.Kind> ANSWERS = Set.of(Event.Kind.ANSWER_SERVED, Event.Kind.ANSWER_REFUSED);

    /** Guards against ends that are said on connections which the gateway has given up meanwhile, and nowhere else. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatEndsAsAHostGoesOnIsTold(boolean acceptsWhileHanging) throws Exception {
        start(3, 900, PATIENCE_MILLIS);
        ClientEmulator client = client("client");
        MediaHostEmulator hanging = hosts.get(0);
        hosts.forEach(host -> host.sessionsEnd(() -> new SessionEnd(SESSION_MILLIS, SessionEnd.NORMAL, false)));
        int sent = 0;
        while (sent < SESSIONS || hanging.standing().isEmpty()) {
            client.send(request(PATIENCE_MILLIS));
            assertTrue(record.await(ANSWERS, ++sent, MOST_MILLIS), "not answered");
        }
        hanging.hang(acceptsWhileHanging);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HANG_MILLIS);
        while (System.nanoTime() < until) {
            client.send(request(PATIENCE_MILLIS));
            sent++;
            TimeUnit.MILLISECONDS.sleep(GAP_MILLIS); // The clients' own pace.
        }
        hanging.readDelay(0);
        assertTrue(record.await(ANSWERS, sent, MOST_MILLIS), "not all were answered");
        TimeUnit.MILLISECONDS.sleep(SESSION_MILLIS + TOLD_WITHIN_MILLIS); // The time in which the protocol wants the last ends told.
        assertRulesKept();
        assertTrue(new SessionChecker(record.events()).judged() >= SESSIONS, "hardly a session ended");
    }
}
