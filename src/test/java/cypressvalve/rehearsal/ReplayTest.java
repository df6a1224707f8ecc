package cypressvalve.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.Doc;
import cypressvalve.load.Ids;
import cypressvalve.load.Importer;
import cypressvalve.load.make.SourceMaker;
import cypressvalve.load.map.Mapping;
import cypressvalve.load.replay.Match;
import cypressvalve.load.replay.Names;
import cypressvalve.load.replay.Plan;
import cypressvalve.load.replay.Replay;
import cypressvalve.load.replay.StagedReplay;
import cypressvalve.load.report.RunFacts;
import cypressvalve.load.report.RunPage;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.tape.Tape;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A source, its trace, its replay through gateways, and their own logs read again: small, on loopback, untimed. */
class ReplayTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String DAY = """
        day: {name: small, seed: 3, length: 10s}
        gateways: {count: 2}
        hosts: {count: 4, link: 9000, link-spread: 0, cores: 8, queue: 400, work: 1ms, vary: 0}
        titles: {recorded: 6, live: 2, copies: 3, length: 600s}
        viewers: {rate: 0, length: 10s, plans: {recorded: 1}}
        service:
          segment: 1s
          ladder: [5, 10, 20]
          revenue: [0.3, 0.6, 1]
          join: 0.3
          plans:
            - {name: recorded, startup: 3s, abandon: 4s}
            - {name: recorded-plus, startup: 3s, abandon: 4s}
            - {name: live, startup: 3s, abandon: 4s, live: true}
          fleet: {cells: 4, link: 9000, kinds: [{name: std, places: 400}]}
          reports: {via: answers, note-period: 500ms, note-delay: 50ms}
        """;

    @TempDir
    Path directory;

    private static DayScript day() {
        Doc doc = Doc.parse("small", DAY);
        DayScript day = DayScript.read(doc);
        doc.verify();
        return day;
    }

    private Path imported(String name, String map, Map<String, List<Path>> servers) throws IOException {
        Doc doc = Doc.parse("map", map);
        Mapping mapping = Mapping.read(doc);
        doc.verify();
        Path trace = directory.resolve(name);
        new Importer(mapping, map, Ids.plain(), "hash").run(servers, trace, false, share -> { });
        return trace;
    }

    private static TreeMap<String, Integer> wanted(Path trace) throws IOException {
        TreeMap<String, Integer> wanted = new TreeMap<>();
        try (TraceReader in = TraceReader.open(trace)) {
            for (Played p = in.next(); p != null; p = in.next()) {
                wanted.merge(p.title() + " " + p.plan(), p.tries().size(), Integer::sum);
            }
        }
        return wanted;
    }

    private static String own() throws IOException {
        try (InputStream in = ReplayTest.class.getResourceAsStream("/load/own.yaml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    void whatASourceAskedForArrivesAndTheGatewaysOwnLogsSayTheSame() throws Exception {
        Path log = directory.resolve("log");
        SourceMaker.make(log, "har", day().service(), 8, 6 * SECOND, 12, 60, 2 * SECOND, SourceMaker.Faults.NONE);
        Path trace = imported("trace", SourceMaker.mapping("har"), Map.of("", List.of(log)));
        Path logs = Files.createDirectory(directory.resolve("logs"));
        Path tapeFile = directory.resolve("tape");
        try (Tape tape = Tape.file(tapeFile)) {
            Plan plan = new Plan(2, 0, 3600 * SECOND, 0, 1, Plan.Retries.SOURCE, 1000, 60 * SECOND, false);
            StagedReplay replay = new StagedReplay(day(), trace, plan, Names.of(trace, Map.of(), day().service()), tape, logs);
            Replay.Result result = replay.play(line -> { });
            Match.Outcome match = replay.match();
            int tries = wanted(trace).values().stream().mapToInt(Integer::intValue).sum();
            assertTrue(tries > 40, "the source has something in it");
            assertEquals(tries, result.sent());
            assertEquals(0, result.notSent());
            assertEquals(match.due(), match.came());
            replay.findings().forEach((rule, found) -> assertEquals(List.of(), found, "rule " + rule));
        }
        Map<String, List<Path>> servers = new LinkedHashMap<>();
        servers.put("g0", List.of(logs.resolve("gateway-0.log")));
        servers.put("g1", List.of(logs.resolve("gateway-1.log")));
        assertEquals(wanted(trace), wanted(imported("again", own(), servers)));
        Map<String, List<Path>> hosts = new LinkedHashMap<>();
        for (int i = 0; i < 4; i++) {
            hosts.put("h" + i, List.of(logs.resolve("host-" + i + ".log")));
        }
        assertEquals(wanted(trace), wanted(imported("hosts", own(), hosts)), "what hosts were asked to set up");
        Path page = directory.resolve("run.html");
        RunPage.write(page, List.of(RunFacts.read(tapeFile), RunFacts.read(tapeFile)), List.of("a <remark>"));
        String html = Files.readString(page);
        assertTrue(html.contains("a &lt;remark&gt;") && html.contains("data:image/png;base64,"));
        assertTrue(!html.contains("http://") && !html.contains("https://"), "nothing is fetched from elsewhere");
    }

    @Test
    void aRunWithTooFewConnectionsIsVoid() throws Exception {
        Path log = directory.resolve("log");
        SourceMaker.make(log, "har", day().service(), 8, 2 * SECOND, 20, 20, 20 * SECOND, SourceMaker.Faults.NONE);
        Path trace = imported("trace", SourceMaker.mapping("har"), Map.of("", List.of(log)));
        Plan plan = new Plan(4, 0, SECOND, 0, 1, Plan.Retries.NONE, 2, 60 * SECOND, false);
        StagedReplay replay = new StagedReplay(day(), trace, plan, Names.of(trace, Map.of(), day().service()), Tape.heard(), null);
        Replay.Result result = replay.play(line -> { });
        assertTrue(result.notSent() > 0 && result.isVoid());
    }

    @Test
    void requestsBeyondTheBoundAreRefusedAtOnceWithTimesThatDiffer() throws Exception {
        try (Scene scene = Scene.flooded(3)) {
            scene.host(0).faults().hang = true;
            List<Scene.Viewer> held = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                held.add(scene.watch("held" + i, 0, "plain"));
            }
            scene.awaitOpening(0, 3);
            List<Long> back = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                Scene.Viewer refused = scene.watch("more" + i, 0, "plain");
                assertEquals(503, refused.status());
                back.add(refused.response.get().headers().firstValueAsLong("Retry-After").orElse(0));
            }
            assertTrue(back.get(5) > back.get(0), "not all in the same second: " + back);
            scene.host(0).faults().hang = false;
            for (Scene.Viewer viewer : held) {
                assertEquals(200, viewer.status(), "those let in before are served");
            }
            assertEquals(200, scene.watch("later", 0, "plain").status());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aTenantsFloodOnSocketsLeavesTheOtherItsShareOfOpenRequests() throws Exception {
        try (Scene scene = Scene.flooded(8, "north", "south")) {
            scene.host(0).faults().hang = true;
            List<Scene.Viewer> held = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                held.add(scene.watch("flood" + i, 0, "plain", "north"));
            }
            scene.awaitOpening(0, 4);
            for (int i = 0; i < 6; i++) {
                assertEquals(503, scene.watch("more" + i, 0, "plain", "north").status(), "beyond its share");
            }
            for (int i = 0; i < 4; i++) {
                held.add(scene.watch("other" + i, 0, "plain", "south"));
            }
            scene.awaitOpening(0, 8);
            assertEquals(503, scene.watch("last", 0, "plain", "south").status(), "now all are taken");
            scene.host(0).faults().hang = false;
            for (Scene.Viewer viewer : held) {
                assertEquals(200, viewer.status(), "those let in before are served");
            }
            assertEquals(Map.of(), scene.broken());
        }
    }
}
