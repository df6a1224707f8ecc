package cypressvalve.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.Doc;
import cypressvalve.judge.Finding;
import cypressvalve.tape.TapeRecord;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Days in simulated time: repeatable, judged like those on sockets, with what goes wrong in them. */
class LabTest {
    private static final String DAY = """
        day: {name: lab, seed: SEED, length: 40s}
        gateways: {count: 4}
        hosts: {count: 8, link: 1400, link-spread: 0.1, uplink: UPLINK, cores: 2, queue: 20, work: 20ms, vary: 0.1}
        titles: {recorded: 12, live: 2, copies: 4, zipf: 0.8, length: 60s}
        viewers: {rate: 4, at-start: 30, length: 12s, plans: {plain: 0.5, paid: 0.2, air: 0.3}}
        troubles: [TROUBLE]
        service:
          ladder: [40, 80, 160, 300]
          revenue: [0.3, 0.55, 0.8, 1]
          join: 0.3
          plans:
            - {name: plain, startup: 1s, abandon: 4s}
            - {name: paid, startup: 1s, abandon: 3s, effect: once, seats: 6}
            - {name: air, startup: 1500ms, abandon: 3s, live: true, floor: 1}
          fleet: {cells: 8, racks: 2, link: 1400, uplink: UPLINK, kinds: [{name: std, places: 30}]}
          rules: {drain-grace: 500ms, cold: {time: 8s, share: 0.4, multiple: 2.5, window: 1500ms}}
          reports: {via: answers, note-period: 2500ms, note-delay: 400ms}
        """;

    private final List<TapeRecord> records = new ArrayList<>();

    private Map<Integer, List<Finding>> played(DayScript day) {
        Lab lab = new Lab(day);
        lab.tape().also(records::add);
        return lab.play(share -> { });
    }

    private static DayScript day(String trouble, int seed, int uplink) {
        Doc doc = Doc.parse("lab", DAY.replace("TROUBLE", trouble).replace("SEED", "" + seed)
            .replace("UPLINK", "" + uplink));
        DayScript day = DayScript.read(doc);
        doc.verify();
        return day;
    }

    private static void kept(Map<Integer, List<Finding>> findings) {
        findings.forEach((rule, found) -> assertEquals(List.of(), found, "rule " + rule));
    }

    private long count(String by, String kind) {
        return records.stream().filter(r -> r.is(by, kind)).count();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{kind: crash, at: 8s, length: 10s, part: 0.25}", "{kind: hang, at: 8s, length: 8s, part: 0.2}",
        "{kind: slow, at: 5s, length: 15s, part: 0.3, size: 4}", "{kind: fast-errors, at: 5s, length: 10s, part: 0.3, size: 0.5}",
        "{kind: answer-lost, at: 8s, length: 6s, part: 0.2}", "{kind: drain, at: 8s, length: 10s, part: 0.2}",
        "{kind: balancer-crash, at: 8s, length: 6s, part: 0.25}", "{kind: list-empty, at: 8s, length: 6s}",
        "{kind: discovery-stale, at: 5s, length: 20s, size: 5}, {kind: crash, at: 8s, length: 6s, part: 0.25}",
        "{kind: report-late, at: 5s, length: 20s, size: 3}", "{kind: burst, at: 8s, length: 8s, size: 3}",
        "{kind: hot-key, at: 8s, length: 8s, size: 0.8, extra: 2}", "{kind: ageing, at: 5s, length: 15s, part: 0.2}",
        "{kind: neighbour, at: 5s, length: 15s, part: 0.3, size: 0.6, extra: 3}",
        "{kind: origin-slow, at: 6s, length: 12s, part: 0.5, size: 3}"})
    void rulesAreKeptThroughEachTrouble(String trouble) {
        kept(played(day(trouble, 4, 5000)));
        assertTrue(count("player", "answer") > 100, "the day has viewers in it");
        assertEquals(trouble.isEmpty() ? 0 : trouble.split("kind").length - 1, count("fault", "ends"));
        assertTrue(count("player", "segment") > 500);
    }

    @Test
    void theSameDayAndSeedGiveTheSameTape() {
        String trouble = "{kind: crash, at: 8s, length: 10s, part: 0.25}, {kind: balancer-crash, at: 15s, length: 6s, part: 0.25}";
        played(day(trouble, 9, 5000));
        String first = told();
        records.clear();
        played(day(trouble, 9, 5000));
        assertEquals(first, told());
        records.clear();
        played(day(trouble, 10, 5000));
        assertNotEquals(first, told());
    }

    /** The tape but for sessions' names, which are drawn to be unguessable. */
    private String told() {
        return records.stream().map(r -> r.t() + " " + r.by() + "/" + r.kind() + " " + r.text("viewer") + r.text("host")
            + r.text("title") + r.text("rung") + r.text("status") + r.text("try")).collect(Collectors.joining("\n"));
    }

    @Test
    void aCrashBreaksWhoPlaysThereAndTheyComeAgain() {
        kept(played(day("{kind: crash, at: 8s, length: 10s, part: 0.25}", 4, 5000)));
        long at = records.stream().filter(r -> r.is("fault", "begins")).findFirst().orElseThrow().t();
        List<TapeRecord> broken = records.stream().filter(r -> r.is("player", "broken") && r.t() >= at
            && r.t() < at + 1_000_000_000L).toList();
        assertTrue(broken.size() >= 3, "some played there");
        assertTrue(broken.stream().anyMatch(b -> records.stream().anyMatch(r -> r.is("player", "answer")
            && r.t() > b.t() && r.whole("status") == 200 && r.text("ask").startsWith(b.text("viewer") + "#"))));
    }

    @Test
    void aWeakUplinkTakesRungsDownAndTheyComeBack() {
        kept(played(day("{kind: origin-slow, at: 10s, length: 12s, part: 1, size: 4}", 4, 3600)));
        long at = records.stream().filter(r -> r.is("fault", "begins")).findFirst().orElseThrow().t();
        double before = rung(at - 6_000_000_000L, at);
        double during = rung(at + 5_000_000_000L, at + 12_000_000_000L);
        assertTrue(during < before - 0.2, during + " while the uplink is weak, " + before + " before");
    }

    private double rung(long from, long to) {
        return records.stream().filter(r -> r.is("player", "segment") && r.t() >= from && r.t() < to)
            .mapToDouble(r -> r.number("rung")).average().orElseThrow();
    }

    @Test
    void theBuiltInDayRuns() throws IOException {
        try (InputStream in = LabTest.class.getResourceAsStream("/days/default.yaml")) {
            Doc doc = Doc.parse("default", new String(in.readAllBytes(), StandardCharsets.UTF_8));
            DayScript day = DayScript.read(doc);
            doc.verify();
            kept(played(day));
        }
    }
}
