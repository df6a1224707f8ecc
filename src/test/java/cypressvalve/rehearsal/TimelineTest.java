package cypressvalve.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cypressvalve.tape.TapeRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TimelineTest {
    private static final long MS = 1_000_000;
    private final Timeline timeline = new Timeline();

    private void at(long ms, String by, String kind, Object... fields) {
        Map<String, Object> values = new HashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            values.put((String) fields[i], fields[i + 1]);
        }
        timeline.accept(new TapeRecord(ms * MS, by, kind, values));
    }

    @Test
    void aViewerCountsOnceInTheSecondOfItsFirstAsk() {
        at(100, "rehearsal", "terms", "segment", 1000 * MS, "plans", Map.of("p", Map.of("startup", 1000 * MS)));
        at(10_000, "rehearsal", "begins");
        at(10_500, "player", "ask", "viewer", "a", "ask", "a#0", "plan", "p");
        at(10_600, "player", "answer", "ask", "a#0", "status", 503);
        at(11_400, "player", "ask", "viewer", "a", "ask", "a#1", "plan", "p");
        at(11_450, "player", "answer", "ask", "a#1", "status", 200);
        at(11_500, "player", "ask", "viewer", "b", "ask", "b#0", "plan", "p");
        at(12_600, "player", "answer", "ask", "b#0", "status", 200);
        at(12_900, "player", "segment", "rung", "2", "late", 1000 * MS);
        at(13_000, "player", "broken");
        List<Timeline.Window> all = timeline.windows(1, 4);
        assertEquals(4, all.size());
        assertEquals(1, all.get(0).startupMet(), "0.95 s after its first ask, a refusal between");
        assertEquals(1, all.get(0).rejected());
        assertEquals(0, all.get(1).startupMet(), "b waited too long");
        assertEquals(0.5, all.get(2).delivered());
        assertEquals(2, all.get(2).rung());
        assertEquals(1, all.get(3).breaks());
        List<Timeline.Window> two = timeline.windows(2, 4);
        assertEquals(2, two.get(0).first());
        assertEquals(0.5, two.get(0).service());
    }
}
