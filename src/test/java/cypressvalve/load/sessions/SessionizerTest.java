package cypressvalve.load.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.load.map.Mapping;
import cypressvalve.load.map.Meant;
import cypressvalve.load.source.Hit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class SessionizerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long T0 = 1_774_746_000L * SECOND;

    private final List<Played> played = new ArrayList<>();
    private final Map<String, Integer> aside = new TreeMap<>();
    private int used;
    private Sessionizer sessions = made(Mapping.Sessions.DEFAULT);

    private Sessionizer made(Mapping.Sessions settings) {
        return new Sessionizer(settings, String::hashCode, new Sessionizer.To() {
            @Override
            public void played(Played playback) {
                played.add(playback);
            }

            @Override
            public void used() {
                used++;
            }

            @Override
            public void aside(String reason) {
                aside.merge(reason, 1, Integer::sum);
            }
        });
    }

    static Meant meant(double s, Meant.Kind kind, String key, boolean sure, String title, long segment, int status) {
        long at = T0 + Math.round(s * SECOND);
        Hit hit = new Hit(0, 0, 1, at, false, "a", key.contains("|") ? key.substring(key.indexOf('|')) : "", "GET",
            "/x", status, 100, -1, "", Map.of());
        return new Meant(hit, at, kind, title, "p", "", kind == Meant.Kind.SEGMENT ? 2 : -1, segment, -1, 0, false,
            List.of(key), sure);
    }

    private void ask(double s, String key, String title, int status) {
        sessions.offer(meant(s, Meant.Kind.ASK, key, !key.contains("|"), title, -1, status));
    }

    private void segment(double s, String key, String title, long n) {
        sessions.offer(meant(s, Meant.Kind.SEGMENT, key, !key.contains("|"), title, n, 200));
    }

    @Test
    void oneViewerFromItsRequestToItsLastSegment() {
        ask(0, "sid:a", "t", 200);
        for (int i = 0; i < 10; i++) {
            segment(1 + 4 * i, "sid:a", "t", i);
        }
        sessions.offer(meant(200, Meant.Kind.ASK, "sid:b", true, "t", -1, 200));
        assertEquals(1, played.size());
        Played p = played.get(0);
        assertEquals(37 * SECOND, p.length());
        assertEquals(10, p.segments());
        assertEquals(9, p.lastSegment());
        assertEquals(2, p.screen());
        assertFalse(p.headless() || p.outlasts());
        sessions.finish();
        assertTrue(played.get(1).outlasts());
        assertEquals(12, used);
    }

    @Test
    void triesAfterAFailureCountWithTheFirst() {
        ask(0, "a|x", "t", 503);
        ask(2, "a|x", "t", 503);
        ask(5, "a|x", "t", 200);
        segment(6, "a|x", "t", 0);
        ask(40, "a|x", "t", 200);
        sessions.finish();
        assertEquals(2, played.size(), "a viewer that played and asks anew is a new playback");
        assertEquals(List.of(0L, 2 * SECOND, 5 * SECOND), played.get(0).tries().stream().map(Played.Try::after)
            .sorted().toList());
        assertEquals(1, played.get(1).tries().size());
    }

    @Test
    void aLateTryOfAnAddressIsAnotherViewerButOfAnIdIsNot() {
        ask(0, "a|x", "t", 503);
        ask(20, "a|x", "t", 200);
        ask(20, "sid:b", "t", 503);
        ask(45, "sid:b", "t", 200);
        sessions.finish();
        assertEquals(3, played.size());
        assertEquals(2, played.stream().filter(p -> p.tries().size() == 1).count());
    }

    @Test
    void twoViewersBehindOneAddressAreToldApartByTheirPlace() {
        ask(0, "a|x", "t", 200);
        for (int i = 0; i < 5; i++) {
            segment(0.5 + i, "a|x", "t", i);
        }
        ask(5, "a|x", "t", 200);
        for (int i = 0; i < 5; i++) {
            segment(5.2 + i, "a|x", "t", i);
            segment(5.5 + i, "a|x", "t", i + 5);
        }
        sessions.finish();
        assertEquals(2, played.size());
        assertEquals(List.of(4L, 9L), played.stream().map(Played::lastSegment).sorted().toList());
        assertEquals(List.of(5L, 10L), played.stream().map(Played::segments).sorted().toList());
    }

    @Test
    void aViewerThatChangesItsAddressGoesOnIfNobodyElseCouldBeIt() {
        ask(0, "a|x", "t", 200);
        segment(1, "a|x", "t", 0);
        segment(5, "a|x", "t", 1);
        segment(9, "b|x", "t", 2);
        segment(13, "b|x", "t", 3);
        assertEquals(1, sessions.movedViewers());
        ask(14, "c|x", "t", 200);
        segment(15, "c|x", "t", 2);
        segment(17, "d|x", "t", 4);
        sessions.finish();
        assertEquals(3, played.size(), "two could be the one at segment 4: no guess, a playback of its own");
    }

    @Test
    void playbacksFromBeforeTheLogHaveNoRequestOfTheirOwn() {
        segment(0, "sid:a", "t", 77);
        sessions.offer(meant(1, Meant.Kind.PLAYLIST, "sid:b", true, "", -1, 200));
        sessions.offer(meant(2, Meant.Kind.SEGMENT, "sid:c", true, "t", 5, 404));
        sessions.offer(meant(3, Meant.Kind.END, "sid:c", true, "t", -1, 204));
        sessions.finish();
        assertEquals(1, played.size());
        assertTrue(played.get(0).headless());
        assertEquals(Map.of("no request to watch before it", 1, "refused, of nothing open", 1, "end of nothing open", 1),
            aside);
    }

    @Test
    void anAskWhoseLineComesJustAfterItsFirstSegmentIsStillItsAsk() {
        segment(0, "sid:a", "t", 0);
        ask(0.4, "sid:a", "t", 200);
        segment(4, "sid:a", "t", 1);
        sessions.finish();
        assertEquals(1, played.size());
        assertFalse(played.get(0).headless());
        assertEquals(1, played.get(0).tries().size());
    }

    @Test
    void anEndEndsAtOnceAndTheSameViewerMayComeAgain() {
        ask(0, "a|x", "t", 200);
        sessions.offer(meant(5, Meant.Kind.END, "a|x", false, "t", -1, 204));
        assertEquals(5 * SECOND, played.get(0).length());
        ask(6, "a|x", "t", 200);
        sessions.finish();
        assertEquals(2, played.size());
    }

    @Test
    void theBudgetEndsTheOneUnheardTheLongest() {
        Mapping.Sessions d = Mapping.Sessions.DEFAULT;
        sessions = made(new Mapping.Sessions(d.window(), d.idle(), d.gap(), d.again(), 3, d.heldLines()));
        for (int i = 0; i < 5; i++) {
            ask(i, "sid:" + i, "t" + i, 200);
        }
        assertEquals(2, sessions.tooMany());
        assertEquals(3, sessions.mostHeld());
        assertTrue(played.stream().allMatch(Played::cutShort));
        assertEquals(List.of("t0", "t1"), played.stream().map(Played::title).toList());
    }

    @Test
    void lostLinesDoNotEndWhoPlaysOn() {
        ask(0, "sid:a", "t", 200);
        segment(4, "sid:a", "t", 0);
        sessions.found(new Gap(0, T0 + 5 * SECOND, T0 + 300 * SECOND, Gap.Kind.LOSS, 1, 1));
        segment(301, "sid:a", "t", 74);
        sessions.finish();
        assertEquals(1, played.size());
        assertEquals(301 * SECOND, played.get(0).length());
    }
}
