package cypressvalve.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.cli.Commands;
import cypressvalve.front.hls.PlaylistChecker;
import cypressvalve.judge.Judge;
import cypressvalve.tape.TapeReader;
import cypressvalve.tape.TapeRecord;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Short days through the command line, and what their tapes show. */
class WholePathTest {
    private static final String DAY = """
        day: {name: short, seed: 4, length: 6s}
        gateways: {count: 2}
        hosts: {count: 6, link: 1500, uplink: 4000, cores: 2, work: 15ms, notice: 400ms, add: 200ms}
        titles: {recorded: 6, live: 2, copies: 3, length: 30s}
        viewers: {rate: 5, at-start: 10, length: 4s, plans: {plain: 0.4, few: 0.2, air: 0.4}, come-least: 200ms,
                  come-most: 800ms}
        troubles:
          - {kind: crash, at: 1500ms, length: 1500ms, part: 0.2}
          - {kind: origin-slow, at: 2s, length: 2s, part: 0.5, size: 3}
          - {kind: fast-errors, at: 2500ms, length: 2s, part: 0.2, size: 0.7}
          - {kind: report-late, at: 2s, length: 3s, size: 1}
          - {kind: neighbour, at: 3s, length: 2s, part: 0.3, size: 0.5, extra: 0.5}
          - {kind: balancer-crash, at: 3500ms, length: 800ms, part: 0.5}
          - {kind: drain, at: 4s, length: 1s, part: 0.2}
          - {kind: answer-lost, at: 4500ms, length: 1s, part: 0.2}
        service:
          ladder: [40, 80, 160]
          revenue: [0.3, 0.6, 1]
          join: 0.3
          plans:
            - {name: plain, startup: 1s, abandon: 2s}
            - {name: few, startup: 1s, abandon: 2s, seats: 4, factor: 1.4}
            - {name: air, startup: 1s, abandon: 2s, live: true, floor: 1}
          fleet: {cells: 6, racks: 2, link: 1500, uplink: 4000, kinds: [{name: std, places: 20}]}
          rules: {drain-grace: 500ms, cold: {time: 3s, share: 0.4, multiple: 3, window: 800ms}}
          reports: {via: answers, note-period: 800ms, note-delay: 150ms}
        """;

    @TempDir
    Path folder;

    @Test
    void aBadDayKeepsTheRulesAndEveryManifestKeepsTheRfc() throws IOException {
        Path day = Files.writeString(folder.resolve("day.yaml"), DAY);
        Path tape = folder.resolve("tape.jsonl");
        assertEquals(0, Commands.execute("rehearse", day.toString(), "--tape", tape.toString()));
        assertEquals(0, Commands.execute("judge", tape.toString()));
        List<TapeRecord> all = new ArrayList<>();
        TapeReader.read(tape, all::add);
        Map<String, String> last = new HashMap<>();
        int manifests = 0;
        for (TapeRecord r : all) {
            if (r.is("player", "manifest")) {
                manifests++;
                assertEquals(List.of(), PlaylistChecker.faults(r.text("text")), r.text("text"));
                String before = r.text("uri").contains("/s/") ? last.put(r.text("uri"), r.text("text")) : null;
                if (before != null) {
                    assertEquals(List.of(), PlaylistChecker.change(before, r.text("text")));
                }
            }
        }
        assertTrue(manifests > 30, manifests + " manifests");
        assertTrue(all.stream().filter(r -> r.is("player", "segment")).count() > 50);
        assertTrue(all.stream().anyMatch(r -> r.is("player", "resumed")), "sessions of before the day are taken up");
        assertEquals(8, all.stream().filter(r -> r.is("fault", "begins")).count());
    }

    @Test
    void aBrokenTapeIsToldByFileAndLineAndABrokenRuleByItsRecords() throws IOException {
        Path cut = Files.writeString(folder.resolve("cut.jsonl"), "{\"t\":1,\"by\":\"player\",\"kind\":\"seen\"}\n{\"t\"");
        assertEquals(1, Commands.execute("judge", cut.toString()));
        Path noTerms = Files.writeString(folder.resolve("none.jsonl"), "");
        assertEquals(1, Commands.execute("judge", noTerms.toString()));
        Path broken = Files.writeString(folder.resolve("broken.jsonl"), """
            {"t":1,"by":"rehearsal","kind":"terms","slack":1,"budgetFloor":-1,"plans":{}}
            {"t":2,"by":"player","kind":"ask","ask":"a","gateway":0,"abandon":5}
            {"t":100,"by":"player","kind":"answer","ask":"a","status":200}
            """);
        assertEquals(1, Commands.execute("judge", broken.toString()));
        Judge judge = new Judge();
        TapeReader.read(broken, judge::accept);
        assertEquals(1, judge.finish().get(1).size());
    }

    @Test
    void exitCodesAreAsStated() throws IOException {
        assertEquals(0, Commands.execute("--help"));
        assertEquals(0, Commands.execute("--version"));
        assertEquals(2, Commands.execute());
        assertEquals(2, Commands.execute("rehearse", "--no-such-option"));
        assertEquals(2, Commands.execute("day"));
        assertEquals(2, Commands.execute("adapter", "more"));
        assertEquals(1, Commands.execute("rehearse", folder.resolve("none.yaml").toString()));
        Path bad = Files.writeString(folder.resolve("bad.yaml"), "gateway: {number: x}\n");
        assertEquals(1, Commands.execute("config", "check", bad.toString()));
        assertEquals(1, Commands.execute("gateway", "--config", bad.toString()));
        assertEquals(1, Commands.execute("media-host", "--config", bad.toString()));
        assertEquals(1, Commands.execute("day", "convert", bad.toString()));
        Path keys = folder.resolve("keys.json");
        assertEquals(0, Commands.execute("keys", keys.toString()));
        assertEquals(1, Commands.execute("keys", keys.toString()), "a set is not overwritten");
        String before = Files.readString(keys);
        assertEquals(0, Commands.execute("keys", "--rotate", keys.toString()));
        assertTrue(Files.readString(keys).length() > before.length());
    }

    @Test
    void aChangeOfRungReachesAPlayingViewerWithItsNextSegment() throws Exception {
        try (Scene scene = Scene.of(1, 1)) {
            List<Scene.Viewer> viewers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                Scene.Viewer viewer = scene.watch("v" + i, 0, "plain");
                assertEquals(200, viewer.status());
                viewers.add(viewer);
            }
            scene.host(0).faults().link = 0.2; // What is asked is now over what the link gives.
            TapeRecord step = scene.await("host", "rung", r -> true);
            Scene.Viewer stepped = null;
            for (Scene.Viewer viewer : viewers) {
                if (viewer.segment("1.ts").contains("/" + step.text("session") + "/")) {
                    stepped = viewer;
                }
            }
            assertTrue(stepped != null);
            String location = stepped.segment("2.ts");
            TapeRecord now = scene.all("host", "rung").stream()
                .filter(r -> r.text("session").equals(step.text("session"))).reduce((a, b) -> b).orElseThrow();
            assertTrue(location.contains("/" + now.whole("rung") + "/2.ts"), location);
            assertEquals(Map.of(), scene.broken());
        }
    }
}
