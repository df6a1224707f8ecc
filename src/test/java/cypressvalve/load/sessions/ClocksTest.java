package cypressvalve.load.sessions;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.load.map.Mapping;
import cypressvalve.load.map.Meant;
import cypressvalve.load.source.Hit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ClocksTest {
    private static final long SECOND = 1_000_000_000L;

    private final List<Long> passed = new ArrayList<>();
    private final List<Gap> gaps = new ArrayList<>();
    private int out;
    private final ClockWatch watch = new ClockWatch(0, Mapping.Sessions.DEFAULT, 0, new ClockWatch.To() {
        @Override
        public void pass(Meant line) {
            passed.add(line.at() / SECOND);
        }

        @Override
        public void outOfWindow(Meant line) {
            out++;
        }

        @Override
        public void found(Gap gap) {
            gaps.add(gap);
        }
    });

    private static Meant segment(double s, int viewer, long n) {
        long at = Math.round(s * SECOND);
        return new Meant(new Hit(0, 0, 1, at, false, "", "", "GET", "/", 200, 0, -1, "", Map.of()), at,
            Meant.Kind.SEGMENT, "t", "p", "", 0, n, -1, 0, false, List.of("v" + viewer), true);
    }

    /** Ten viewers who fetch a segment every four seconds, as the clock says and as it truly is. */
    private void play(int from, int to, int clockAhead) {
        for (int s = from; s < to; s += 4) {
            for (int v = 0; v < 10; v++) {
                watch.offer(segment(1000 + s + clockAhead + v * 0.1, v, s / 4));
            }
        }
    }

    @Test
    void linesThatAreMissingWhileViewersPlayOnAreLost() {
        play(0, 100, 0);
        play(180, 200, 0);
        watch.finish();
        assertEquals(1, gaps.size());
        assertEquals(Gap.Kind.LOSS, gaps.get(0).kind());
        assertEquals(1180, passed.get(250));
        assertEquals(0, out);
    }

    @Test
    void aClockSetForwardIsTakenBack() {
        play(0, 100, 0);
        play(100, 200, 3600);
        watch.finish();
        assertEquals(Gap.Kind.LEAP, gaps.get(0).kind());
        assertTrue(Math.abs(passed.get(passed.size() - 1) - 1196) <= 4, "the leap is gone but for one pause");
        assertEquals(500, passed.size());
    }

    @Test
    void aClockSetBackIsTakenForward() {
        play(0, 100, 0);
        play(100, 200, -3600);
        watch.finish();
        assertEquals(Gap.Kind.LEAP, gaps.get(0).kind());
        assertTrue(Math.abs(passed.get(passed.size() - 1) - 1196) <= 4);
        assertEquals(500, passed.size());
    }

    @Test
    void anEmptyNightIsSilence() {
        play(0, 100, 0);
        for (int v = 0; v < 10; v++) {
            watch.offer(segment(1100 + v * 9, v, 25 + v * 9 / 4)); // One after another they leave.
        }
        for (int v = 20; v < 30; v++) {
            watch.offer(segment(9000 + v, v, 0));
        }
        watch.finish();
        assertEquals(Gap.Kind.SILENCE, gaps.get(0).kind());
        assertEquals(9020, passed.get(260));
    }

    @Test
    void viewersWhoAllStopInOneMomentWereCutOffEvenIfNoneComesBack() {
        play(0, 100, 0);
        for (int v = 20; v < 30; v++) {
            watch.offer(segment(1400 + v, v, 0));
        }
        watch.finish();
        assertEquals(Gap.Kind.LOSS, gaps.get(0).kind());
        assertEquals(0, gaps.get(0).cameBack());
    }

    @Test
    void strayLinesFarBehindOrAheadDoNotMoveTheClock() {
        play(0, 40, 0);
        watch.offer(segment(500, 3, 1));
        watch.offer(segment(90_000, 4, 1));
        watch.tick(400 * SECOND);
        play(40, 80, 0);
        watch.finish();
        assertEquals(2, out);
        assertEquals(List.of(), gaps);
        assertEquals(200, passed.size());
    }

    @Test
    void linesThatMeanNothingTellTheTimeToo() {
        watch.offer(segment(1000, 1, 0));
        for (int s = 1010; s < 1100; s += 10) {
            watch.tick(s * SECOND);
        }
        watch.offer(segment(1100, 2, 0));
        watch.finish();
        assertEquals(List.of(), gaps);
    }

    @Test
    void aSecondsLinesAreSpreadOverItInTheirOrder() {
        List<Long> at = new ArrayList<>();
        List<Long> late = new ArrayList<>();
        Ordering ordering = new Ordering(5 * SECOND, 1000, m -> at.add(m.at()), m -> late.add(m.at()));
        for (int i = 0; i < 4; i++) {
            ordering.offer(coarse(10));
        }
        ordering.offer(coarse(12));
        ordering.offer(coarse(11));
        ordering.offer(coarse(30));
        ordering.offer(coarse(9));
        ordering.finish();
        assertEquals(List.of(10.125, 10.375, 10.625, 10.875, 11.5, 12.5, 30.5),
            at.stream().map(t -> t / (double) SECOND).toList());
        assertEquals(List.of(9 * SECOND), late);
    }

    @Test
    void heldLinesAreBounded() {
        List<Long> at = new ArrayList<>();
        Ordering ordering = new Ordering(5 * SECOND, 10, m -> at.add(m.at()), m -> { });
        for (int i = 0; i < 100; i++) {
            ordering.offer(segment(1 + i / 1000.0, 1, i));
        }
        assertEquals(90, ordering.early());
        ordering.finish();
        assertEquals(100, at.size());
    }

    private static Meant coarse(long s) {
        Meant m = segment(s, 1, 0);
        return new Meant(new Hit(0, 0, 1, s * SECOND, true, "", "", "GET", "/", 200, 0, -1, "", Map.of()), m.at(),
            m.kind(), m.title(), m.plan(), m.tenant(), 0, 0, -1, 0, false, m.keys(), true);
    }

    @Test
    void serversClocksAreFoundFromViewersThatUsedBoth() {
        ServerClocks clocks = new ServerClocks();
        for (int v = 0; v < 20; v++) {
            for (int n = 0; n < 10; n++) {
                int server = (v + n / 3) % 3;
                long ahead = server == 1 ? 7 * SECOND : server == 2 ? -3 * SECOND : 0;
                clocks.seen(server, "v" + v, n, (100 + v + 4L * n) * SECOND + ahead);
            }
        }
        assertArrayEquals(new long[] {0, -7 * SECOND, 3 * SECOND}, clocks.offsets(3));
        assertArrayEquals(new long[] {0, 0}, new ServerClocks().offsets(2), "nothing is said of unknown clocks");
    }
}
