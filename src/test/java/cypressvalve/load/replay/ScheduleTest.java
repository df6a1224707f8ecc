package cypressvalve.load.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.Doc;
import cypressvalve.config.Service;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceWriter;
import cypressvalve.load.trace.wire.Header;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ScheduleTest {
    private static final long SECOND = 1_000_000_000L;

    private static final Service SERVICE = service();

    @TempDir
    Path directory;

    private static Service service() {
        Doc doc = Doc.parse("service", "service: {ladder: [1], revenue: [1], fleet: {cells: 1, link: 1, kinds: [{name: s, "
            + "places: 1}]}, plans: [{name: p, startup: 1s, abandon: 2s}]}");
        Service service = Service.read(doc.root().section("service"));
        doc.verify();
        return service;
    }

    static Played played(double s, long key, String title, long... tries) {
        List<Played.Try> all = new ArrayList<>();
        for (long after : tries) {
            all.add(new Played.Try(after * SECOND, 200, 0));
        }
        return new Played(Math.round(s * SECOND), List.of(key), title, "p", "", -1, 0, 20 * SECOND, all, -1, -1, 0, 0, 0,
            all.isEmpty(), false, false, false, true);
    }

    private static Plan plan(double speed, long from, long length, int share, int of, Plan.Retries retries, boolean h) {
        return new Plan(speed, from * SECOND, length * SECOND, share, of, retries, 10, Plan.LATE_BOUND, h);
    }

    private static List<Double> due(Plan plan, Played p) {
        return new Schedule(plan, 0).of(p).stream().map(d -> d.at() / (double) SECOND).toList();
    }

    @Test
    void triesAreTheSourcesOrTheModelsNeverBoth() {
        Played p = played(30, 1, "t", 0, 2, 5);
        assertEquals(List.of(30.0, 32.0, 35.0), due(plan(1, 0, 100, 0, 1, Plan.Retries.SOURCE, false), p));
        assertEquals(List.of(30.0), due(plan(1, 0, 100, 0, 1, Plan.Retries.MODEL, false), p));
        assertEquals(List.of(10.0, 11.0, 12.5), due(plan(2, 10, 100, 0, 1, Plan.Retries.SOURCE, false), p));
    }

    @Test
    void whatBeginsOutsideTheSpanOrHasNoRequestIsNotSent() {
        assertEquals(List.of(), due(plan(1, 31, 100, 0, 1, Plan.Retries.SOURCE, false), played(30, 1, "t", 0)));
        assertEquals(List.of(), due(plan(1, 10, 20, 0, 1, Plan.Retries.SOURCE, false), played(30, 1, "t", 0)));
        assertTrue(new Schedule(plan(1, 10, 20, 0, 1, Plan.Retries.SOURCE, false), 0).past(played(30, 1, "t", 0)));
        assertEquals(List.of(), due(plan(1, 0, 100, 0, 1, Plan.Retries.SOURCE, false), played(30, 1, "t")));
        assertEquals(List.of(30.0), due(plan(1, 0, 100, 0, 1, Plan.Retries.SOURCE, true), played(30, 1, "t")));
    }

    @Test
    void driversShareViewersWithoutOverlap() {
        int[] counts = new int[3];
        for (long key = 0; key < 3000; key++) {
            int drivers = 0;
            for (int share = 0; share < 3; share++) {
                int sent = due(plan(1, 0, 100, share, 3, Plan.Retries.SOURCE, false),
                    played(1, key * 77_777_777_777L, "t", 0, 1)).size();
                assertTrue(sent == 0 || sent == 2, "a viewer is driven whole");
                drivers += sent / 2;
                counts[share] += sent / 2;
            }
            assertEquals(1, drivers);
        }
        for (int count : counts) {
            assertTrue(count > 900 && count < 1100, "shares are even: " + count);
        }
    }

    private Match match(Played... source) throws Exception {
        Path trace = directory.resolve("trace");
        try (TraceWriter out = new TraceWriter(trace, Header.getDefaultInstance())) {
            for (Played p : source) {
                out.put(p);
            }
            out.finish();
        }
        Match match = new Match(new Schedule(plan(1, 0, 1000, 0, 1, Plan.Retries.SOURCE, false), 0),
            Names.of(trace, Map.of(), SERVICE), 1);
        for (Played p : source) {
            match.source(p);
        }
        match.began(1000 * SECOND);
        return match;
    }

    private static Played[] hundred() {
        Played[] all = new Played[100];
        for (int i = 0; i < 100; i++) {
            all[i] = played(i * 0.37, i, "t" + i % 5, 0);
        }
        return all;
    }

    @Test
    void aDelayOfAllIsNoDifferenceButOneOfSomeIs() throws Exception {
        Match same = match(hundred());
        Match some = match(hundred());
        Match missing = match(hundred());
        for (int i = 0; i < 100; i++) {
            long at = Math.round((1000 + i * 0.37) * SECOND) + 30_000_000;
            same.arrived("t" + i % 5, "p", at);
            some.arrived("t" + i % 5, "p", at + (i % 10 == 0 ? 25_000_000 : 0));
            if (i % 20 != 0) {
                missing.arrived("t" + i % 5, "p", at);
            }
        }
        assertTrue(same.outcome().within());
        assertEquals(30_000_000, same.outcome().delay());
        assertEquals(0.9, some.outcome().near(), 1e-9);
        assertFalse(some.outcome().within());
        assertEquals(0.95, missing.outcome().near(), 1e-9, "one that is missing shifts no other");
        assertEquals(0.05, missing.outcome().apart(), 1e-9);
    }

    @Test
    void anotherTitleOrOneTooManyIsNoMatch() throws Exception {
        Match match = match(hundred());
        for (int i = 0; i < 100; i++) {
            match.arrived(i < 3 ? "other" : "t" + i % 5, "p", Math.round((1000 + i * 0.37) * SECOND));
        }
        match.arrived("t0", "p", 1100 * SECOND);
        assertFalse(match.outcome().within());
        assertEquals(101, match.outcome().came());
        assertEquals(0.04, match.outcome().apart(), 1e-9);
    }
}
