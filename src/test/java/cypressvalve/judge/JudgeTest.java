package cypressvalve.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cypressvalve.tape.TapeRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Each rule broken on a doctored tape, and kept by a hair on another. */
class JudgeTest {
    private static final long MS = 1_000_000;

    private final List<TapeRecord> tape = new ArrayList<>();

    JudgeTest() {
        at(0, "rehearsal", "terms", "drainGrace", 500 * MS, "answerGrace", 40 * MS, "slack", 100 * MS,
            "budgetFloor", 1, "budgetShare", 0.5, "budgetOver", 1000 * MS, "plans", Map.of(
                "plain", Map.of("once", false, "floor", 0, "seats", 0),
                "paid", Map.of("once", true, "floor", 0, "seats", 0),
                "few", Map.of("once", false, "floor", 0, "seats", 1),
                "air", Map.of("once", false, "floor", 1, "seats", 0)));
        for (int i = 0; i < 10; i++) {
            ask(1, "x" + i); // Enough taken for any further tries below, but where the budget is the matter.
            answer(2, "x" + i, 200);
        }
    }

    private void at(long ms, String by, String kind, Object... fields) {
        Map<String, Object> values = new HashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            values.put((String) fields[i], fields[i + 1]);
        }
        tape.add(new TapeRecord(ms * MS, by, kind, values));
    }

    private void ask(long ms, String id) {
        at(ms, "player", "ask", "ask", id, "gateway", 0, "abandon", 3000 * MS);
    }

    private void answer(long ms, String id, int status) {
        at(ms, "player", "answer", "ask", id, "status", status);
    }

    private void setup(long ms, int host, String playback, int number, String plan) {
        at(ms, "host", "setup", "host", host, "gateway", 0, "session", playback + "." + number, "playback", playback,
            "try", "" + number, "title", "t", "plan", plan, "rung", 1);
    }

    private void end(long ms, String session, String how) {
        at(ms, "host", "setup-end", "session", session, "how", how);
    }

    private void release(long ms, String session) {
        at(ms, "host", "release", "session", session);
    }

    private void broken(Integer... rules) {
        Judge judge = new Judge();
        tape.forEach(judge::accept);
        assertEquals(List.of(rules), judge.finish().entrySet().stream().filter(e -> !e.getValue().isEmpty())
            .map(Map.Entry::getKey).toList());
    }

    @Test
    void anAnswerAtTheLastMomentIsKept() {
        ask(10, "a");
        answer(10 + 3000 + 140, "a", 503);
        broken();
    }

    @Test
    void anAnswerTooLate() {
        ask(10, "a");
        answer(10 + 3000 + 141, "a", 503);
        broken(1);
    }

    @Test
    void noAnswerAtAll() {
        ask(10, "a");
        ask(5000, "b");
        answer(5001, "b", 200);
        broken(1);
    }

    @Test
    void aSecondAnswer() {
        ask(10, "a");
        answer(20, "a", 503);
        answer(30, "a", 200);
        broken(1);
    }

    @Test
    void aConnectionClosedWithoutAnAnswer() {
        ask(10, "a");
        at(20, "player", "no-answer", "ask", "a");
        broken(1);
    }

    @Test
    void whatAKilledGatewayHeldIsNoLongerItsDuty() {
        ask(10, "a");
        at(15, "gateway", "down", "gateway", 0);
        at(20, "player", "no-answer", "ask", "a");
        at(30, "gateway", "up", "gateway", 0);
        ask(5000, "b");
        answer(5001, "b", 200);
        broken();
    }

    @Test
    void twoTriesOutAtOnce() {
        setup(10, 1, "p", 0, "plain");
        setup(20, 2, "p", 1, "plain");
        end(121, "p.1", "started");
        release(200, "p.0");
        broken(2);
    }

    @Test
    void aTryThatEndsWithinTheSlackOfTheNextIsKept() {
        setup(10, 1, "p", 0, "plain");
        setup(20, 2, "p", 1, "plain");
        release(119, "p.0");
        end(200, "p.1", "started");
        broken();
    }

    @Test
    void aHostThatStoodStillIsGivenThatLongAndNoLonger() {
        setup(10, 1, "p", 0, "plain");
        setup(20, 2, "p", 1, "plain");
        at(300, "host", "stalled", "host", 1, "nanos", 200 * MS);
        release(319, "p.0");
        broken();
        tape.remove(tape.size() - 1);
        release(321, "p.0");
        broken(2);
    }

    @Test
    void standingStillTwiceIsGivenBothTimesAndNoMore() {
        setup(10, 1, "p", 0, "plain");
        setup(20, 2, "p", 1, "plain");
        at(300, "host", "stalled", "host", 1, "nanos", 200 * MS);
        at(3400, "host", "stalled", "host", 1, "nanos", 3090 * MS);
        release(3409, "p.0");
        broken();
        tape.remove(tape.size() - 1);
        release(3411, "p.0");
        broken(2);
    }

    @Test
    void aTryWhoseHostNeverRunsAgainIsNotTakenForEnded() {
        setup(10, 1, "p", 0, "plain");
        setup(20, 2, "p", 1, "plain");
        at(4000, "host", "stalled", "host", 1, "nanos", 3970 * MS);
        broken(2);
    }

    @Test
    void aPaidPlanTriedAgainAfterATryThatMayHaveRun() {
        setup(10, 1, "p", 0, "paid");
        release(15, "p.0");
        setup(20, 2, "p", 1, "paid");
        broken(2);
    }

    @Test
    void aPaidPlanTriedAgainAfterATryThatWasTurnedAwayIsKept() {
        setup(10, 1, "p", 0, "paid");
        end(15, "p.0", "full");
        setup(20, 2, "p", 1, "paid");
        broken();
    }

    private void paid(long ms, String ask, String sid) {
        at(ms, "player", "ask", "ask", ask, "gateway", 0, "abandon", 3000 * MS, "plan", "paid", "sid", sid);
    }

    private void paidSetup(long ms, String playback, String sid) {
        at(ms, "host", "setup", "host", 0, "gateway", 0, "session", playback + ".0", "playback", playback, "try", "0",
            "title", "t", "plan", "paid", "rung", 1, "about", "3 0 north " + sid);
    }

    @Test
    void aPaidPlaybackRefusedThoughItsTryMayHaveRun() {
        paid(10, "a", "s1-0");
        paidSetup(20, "p", "s1-0");
        answer(1000, "a", 503);
        ask(9000, "z");
        answer(9001, "z", 200);
        broken(2);
    }

    @Test
    void aPaidPlaybackRefusedAfterAHostTurnedItAwayOrAfterAnotherViewersTryIsKept() {
        paid(10, "a", "s1-0");
        paidSetup(20, "p", "s1-0");
        answer(1000, "a", 503);
        end(1200, "p.0", "full"); // Told late, within the slack.
        paid(2000, "b", "s2-0");
        paidSetup(2010, "q", "s12-0");
        answer(2100, "b", 503);
        ask(9000, "z");
        answer(9001, "z", 200);
        broken();
    }

    @Test
    void oneTrySentTwice() {
        setup(10, 1, "p", 0, "plain");
        end(12, "p.0", "full");
        setup(20, 1, "p", 0, "plain");
        broken(2);
    }

    @Test
    void aSetUpToADrainingHostAfterTheGrace() {
        at(10, "list", "told", "gateway", 0, "host", 1, "state", "draining");
        setup(10 + 500 + 101, 1, "p", 0, "plain");
        broken(3);
    }

    @Test
    void aSetUpWithinTheGraceOrToAHostThatIsBackIsKept() {
        at(10, "list", "told", "gateway", 0, "host", 1, "state", "draining");
        setup(10 + 500 + 100, 1, "p", 0, "plain");
        at(2000, "list", "told", "gateway", 0, "host", 1, "state", "active");
        setup(3000, 1, "q", 0, "plain");
        broken();
    }

    @Test
    void aSetUpThatADrainingHostRecordsLateSinceItStoodStillIsKept() {
        at(10, "list", "told", "gateway", 0, "host", 1, "state", "draining");
        setup(900, 1, "p", 0, "plain");
        at(910, "host", "stalled", "host", 1, "nanos", 310 * MS);
        broken();
        tape.remove(tape.size() - 1);
        at(910, "host", "stalled", "host", 1, "nanos", 290 * MS);
        broken(3);
    }

    private void coldStart(int setups) {
        // 20 places over 10 s at half warmth, times 4, in one second: 4, and 2 of slack.
        at(10, "host", "up", "host", 1, "warm", false, "places", 20, "coldTime", 10_000 * MS, "coldShare", 0.5,
            "multiple", 4.0, "window", 1000 * MS);
        at(11, "list", "told", "gateway", 0, "host", 1, "state", "active", "startedAt", 10 * MS);
        for (int i = 0; i < setups; i++) {
            setup(20 + i, 1, "p" + i, 0, "plain");
        }
    }

    @Test
    void aColdHostPushedOverItsPace() {
        coldStart(7);
        broken(4);
    }

    @Test
    void aColdHostAtItsPaceIsKept() {
        coldStart(6);
        setup(1100, 1, "late", 0, "plain");
        broken();
    }

    @Test
    void aColdHostThatFell() {
        coldStart(5);
        at(40, "host", "fell", "host", 1);
        broken(4);
    }

    @Test
    void aColdHostPushedByGatewaysThatCouldNotKnowIsNoBreak() {
        coldStart(0);
        tape.removeIf(r -> r.is("list", "told"));
        for (int i = 0; i < 9; i++) {
            setup(20 + i, 1, "p" + i, 0, "plain");
        }
        broken();
    }

    @Test
    void aRungUnderTheFloor() {
        setup(10, 1, "p", 0, "air");
        at(20, "host", "rung", "session", "p.0", "plan", "air", "rung", 1);
        broken();
        at(30, "host", "rung", "session", "p.0", "plan", "air", "rung", 0);
        broken(5);
    }

    @Test
    void morePlaybacksThanSeats() {
        setup(10, 1, "p", 0, "few");
        setup(20, 1, "q", 0, "few");
        release(121, "p.0");
        broken(5);
    }

    @Test
    void aSeatGivenOnWithinTheSlackIsKept() {
        setup(10, 1, "p", 0, "few");
        setup(20, 2, "q", 0, "few");
        release(119, "p.0");
        setup(4000, 1, "r", 0, "plain");
        broken();
    }

    @Test
    void furtherTriesOverTheBudget() {
        // Ten playbacks taken in the window: 1 + 0.5 x 10.
        for (int i = 0; i < 6; i++) {
            setup(100 + i, 1, "p" + i, 1, "plain");
        }
        broken();
        setup(120, 1, "p6", 1, "plain");
        broken(6);
    }
}
