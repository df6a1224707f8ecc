package cypressvalve.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class GateTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000_000_000L;

    private final Gate gate = new Gate(new Gate.Limits(100, 100 * MS), new double[] {3, 1}, 0);
    private long now;

    /** Asks at even times for a second, the loop so late, each answered at once; how many of each tenant went on. */
    private int[] second(int first, int second, long late) {
        int[] passed = new int[2];
        int asked0 = 0;
        int asked1 = 0;
        for (int step = 1; step <= 1000; step++) {
            now += MS;
            if (step % 25 == 0) {
                gate.looked(now, late);
            }
            for (; asked0 < first * step / 1000; asked0++) {
                passed[0] += go(0);
            }
            for (; asked1 < second * step / 1000; asked1++) {
                passed[1] += go(1);
            }
        }
        return passed;
    }

    private int go(int tenant) {
        if (gate.ask(tenant, now) != null) {
            return 0;
        }
        gate.closed(tenant);
        return 1;
    }

    @Test
    void whileTheLoopKeepsUpAllGoOn() {
        int[] passed = second(3000, 2000, 0);
        assertEquals(5000, passed[0] + passed[1]);
        assertFalse(gate.paced());
    }

    @Test
    void oneLatePauseIsNoFlood() {
        second(1000, 0, 0);
        now += 400 * MS;
        gate.looked(now, 400 * MS);
        now += 25 * MS;
        gate.looked(now, 0);
        assertFalse(gate.paced());
    }

    @Test
    void aLoopWithQuickRoundsBetweenLateOnesIsCutAndNotRaisedBetween() {
        second(1000, 1000, 0);
        second(1000, 1000, 0);
        for (int round = 0; round < 4; round++) {
            now += 700 * MS;
            gate.looked(now, 675 * MS);
            double cut = gate.pace();
            for (int quick = 0; quick < 3; quick++) {
                now += 25 * MS;
                gate.looked(now, 0);
            }
            assertEquals(cut, gate.pace(), 1e-9, "in round " + round);
        }
        assertTrue(gate.pace() < 400, "cut though no two late looks came in a row: " + gate.pace());
    }

    @Test
    void aLateLoopCutsThePaceUntilItKeepsUpAndFreesItLater() {
        second(2000, 2000, 0);
        int[] passed = second(2000, 2000, 150 * MS);
        assertTrue(gate.paced());
        int[] next = second(2000, 2000, 150 * MS);
        assertTrue(next[0] + next[1] < (passed[0] + passed[1]) * 0.8, next[0] + next[1] + " after " + passed[0]);
        double low = gate.pace();
        second(2000, 2000, 0);
        second(2000, 2000, 0);
        assertTrue(gate.pace() > low * 1.5);
        for (int s = 0; s < 30 && gate.paced(); s++) {
            second(50, 50, 0);
        }
        assertFalse(gate.paced());
    }

    /** What a loop that is so late leaves of a pace of a thousand after its first cut. */
    private static double firstCut(long late) {
        GateTest test = new GateTest();
        test.second(500, 500, 0);
        test.second(500, 500, 0);
        for (int look = 0; look < LATE_LOOKS; look++) {
            test.now += 25 * MS;
            test.gate.looked(test.now, late);
        }
        return test.gate.pace();
    }

    private static final int LATE_LOOKS = 2;

    @Test
    void theLaterTheLoopTheDeeperTheCut() {
        double mild = firstCut(150 * MS);
        double half = firstCut(600 * MS);
        double deep = firstCut(3 * SECOND);
        assertEquals(mild * 0.4 / 0.7, half, mild * 0.02);
        assertEquals(mild * 0.1 / 0.7, deep, mild * 0.02);
        assertTrue(deep >= 20);
    }

    @Test
    void whatWaitedUnreadIsTakenOffTheViewersPatience() {
        second(10, 10, 0);
        assertEquals(0, gate.unread(now), "the loop keeps up");
        now += 25 * MS;
        gate.looked(now, 800 * MS);
        assertEquals(800 * MS, gate.unread(now + 10 * MS));
        assertEquals(1500 * MS, gate.unread(now + 1500 * MS), "one long pass, no look since");
        now += 25 * MS;
        gate.looked(now, 90 * MS);
        assertEquals(0, gate.unread(now), "under the bound nothing is taken off");
        Gate simulated = new Gate(new Gate.Limits(100, Long.MAX_VALUE / 2), new double[0], 0);
        assertEquals(0, simulated.unread(100 * SECOND), "where nothing is ever late no look is taken");
    }

    @Test
    void howeverLateALittleGoesOn() {
        for (int s = 0; s < 20; s++) {
            second(1000, 1000, SECOND);
        }
        int[] passed = second(1000, 1000, SECOND);
        assertEquals(20, passed[0] + passed[1], 4);
    }

    @Test
    void aTenantsFloodTakesNothingOfAnothersShare() {
        second(400, 400, 0);
        for (int s = 0; s < 4; s++) {
            second(400, 400, 150 * MS);
        }
        double pace = gate.pace();
        int[] passed = second(10_000, (int) (pace / 8), 0);
        assertEquals((int) (pace / 8), passed[1], 1, "under its share of a quarter none is refused");
        assertTrue(passed[0] >= 0.7 * pace, "what it leaves goes to the other: " + passed[0] + " of " + pace);
    }

    @Test
    void openRequestsAreBoundedAndSharedWhenTheyRunShort() {
        int went = 0;
        while (gate.ask(1, now) == null) {
            went++;
        }
        assertEquals(50, went, "half of them without a question, then no more than its share");
        assertEquals(Gate.Refusal.SHARE, gate.ask(1, now));
        for (int i = 0; i < 50; i++) {
            assertNull(gate.ask(0, now));
        }
        assertEquals(Gate.Refusal.OPEN, gate.ask(0, now));
        assertEquals(Gate.Refusal.OPEN, gate.ask(-1, now));
        gate.closed(1);
        assertNull(gate.ask(-1, now));
        assertEquals(100, gate.open());
    }

    @Test
    void thoseRefusedTogetherDoNotComeBackTogether() {
        for (int s = 0; s < 8; s++) {
            second(300, 300, 150 * MS);
        }
        double pace = gate.pace();
        Map<Long, Integer> back = new TreeMap<>();
        for (int i = 0; i < 2000; i++) {
            long in = gate.comeBackIn(now);
            assertTrue(in >= SECOND && in <= 31 * SECOND);
            back.merge(in / SECOND, 1, Integer::sum);
        }
        int most = back.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        double rounds = Math.ceil(2000 / (pace * 29));
        assertTrue(most <= (pace + 1) * rounds, most + " in one second at a pace of " + pace);
    }
}
