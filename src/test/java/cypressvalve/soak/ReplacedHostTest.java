package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A new media host at the address of one that has gone is not taken for the old one, however late the list tells of either. */
@Timeout(60)
class ReplacedHostTest extends GatewayTrial {
    private static final int PATIENCE_MILLIS = 1_000;
    private static final long GAP_MILLIS = 30;
    private static final int BEFORE = 40;
    private static final int BEHIND = 80;
    private static final long SESSION_MILLIS = 2_500;
    /** The protocol's time for an end that could not be said, and its slack. */
    private static final long TOLD_WITHIN_MILLIS = 8_200;
    private static final Set<Event.Kind> ANSWERS = Set.of(Event.Kind.ANSWER_SERVED, Event.Kind.ANSWER_REFUSED);

    /** Guards against attempts that run twice or are lost, and sessions that are left, as the process at an address changes. */
    @ParameterizedTest
    @ValueSource(longs = {100, 1_500})
    void workOfTheOldOneIsNeitherLostNorDoneTwice(long listedAfterMillis) throws Exception {
        start(3, 900, PATIENCE_MILLIS);
        ClientEmulator client = client("client");
        hosts.forEach(host -> host.sessionsEnd(() -> new SessionEnd(SESSION_MILLIS, SessionEnd.NORMAL, false)));
        hosts.get(0).answers(AnswerMode.LATE, 100); // So that set-ups are open as it dies.
        send(client, BEFORE);
        MediaHostEmulator old = hosts.get(0);
        old.die();
        MediaHostEmulator fresh = openHost("host-fresh", old.address().getPort());
        fresh.sessionsEnd(() -> new SessionEnd(SESSION_MILLIS, SessionEnd.NORMAL, false));
        send(client, (int) (listedAfterMillis / GAP_MILLIS));
        replace(old, fresh, 0);
        send(client, BEHIND);
        assertTrue(record.await(ANSWERS, BEFORE + listedAfterMillis / GAP_MILLIS + BEHIND, MOST_MILLIS), "not all were answered");
        TimeUnit.MILLISECONDS.sleep(TOLD_WITHIN_MILLIS); // The time in which the protocol wants the last ends told.
        assertRulesKept();
        assertTrue(new SessionChecker(record.events()).judged() > 0, "no session ended");
    }

    /** Every second one is of the class that must not run twice. */
    private void send(ClientEmulator client, int requests) throws Exception {
        for (int i = 0; i < requests; i++) {
            ClientEmulator.SetUp request = request(PATIENCE_MILLIS);
            client.send(i % 2 == 0 ? request : new ClientEmulator.SetUp(request.id(), TrialConfig.ONCE, "t", "abcdef", PATIENCE_MILLIS, 3));
            TimeUnit.MILLISECONDS.sleep(GAP_MILLIS); // The clients' own pace.
        }
    }
}
