package cypressvalve.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.Doc;
import cypressvalve.load.make.SourceMaker;
import cypressvalve.load.map.Mapping;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.load.trace.wire.Header;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sources of several programs, with what goes wrong in them, against what truly was asked for. */
class ImportTest {
    private static final long SECOND = 1_000_000_000L;
    private static final SourceMaker.Faults ROUGH = new SourceMaker.Faults(120 * SECOND, 170 * SECOND, 240 * SECOND,
        3600 * SECOND, 0.002, 0.01, SECOND / 2);

    @TempDir
    Path directory;

    static DayScript day() throws IOException {
        try (InputStream in = ImportTest.class.getResourceAsStream("/days/default.yaml")) {
            Doc doc = Doc.parse("default", new String(in.readAllBytes(), StandardCharsets.UTF_8));
            DayScript day = DayScript.read(doc);
            doc.verify();
            return day;
        }
    }

    private Importer importer(String map) {
        Doc doc = Doc.parse("map", map);
        Mapping mapping = Mapping.read(doc);
        doc.verify();
        return new Importer(mapping, map, Ids.plain(), "hash");
    }

    private static List<Played> read(Path trace) throws IOException {
        List<Played> all = new ArrayList<>();
        try (TraceReader in = TraceReader.open(trace)) {
            for (Played p = in.next(); p != null; p = in.next()) {
                all.add(p);
            }
        }
        return all;
    }

    private static Map<String, Integer> asks(List<Played> all) {
        Map<String, Integer> asks = new TreeMap<>();
        for (Played p : all) {
            for (Played.Try t : p.tries()) {
                asks.merge(SourceMaker.Truth.cell(p.title(), p.plan(), p.at() + t.after()), 1, Integer::sum);
            }
        }
        return asks;
    }

    /** Share of requests that are in another title, plan or second than they were. */
    private static double apart(Map<String, Integer> a, Map<String, Integer> b) {
        TreeMap<String, Integer> cells = new TreeMap<>(a);
        b.forEach((cell, n) -> cells.merge(cell, -n, Integer::sum));
        double total = Math.max(1, a.values().stream().mapToInt(Integer::intValue).sum());
        return cells.values().stream().mapToInt(Math::abs).sum() / 2.0 / total;
    }

    @ParameterizedTest
    @ValueSource(strings = {"nginx", "combined", "apache", "w3c", "json", "har"})
    void roughSourcesGiveWhatWasAskedFor(String form) throws IOException {
        Path log = directory.resolve("log.gz");
        SourceMaker.Truth truth = SourceMaker.make(log, form, day().service(), 5, 360 * SECOND, 4, Integer.MAX_VALUE,
            30 * SECOND, ROUGH);
        Path trace = directory.resolve("trace");
        Importer importer = importer(SourceMaker.mapping(form));
        Header header = importer.run(Map.of("", List.of(log)), trace, true, share -> { });
        long aside = header.getAsideMap().values().stream().mapToLong(Long::longValue).sum();
        assertEquals(header.getLines(), header.getUsed() + aside + header.getBad());
        assertEquals(truth.lines(), header.getLines() - (form.equals("w3c") ? 3 : 0));
        assertEquals(truth.bad(), header.getBad());
        assertEquals(truth.strange(), header.getAsideOrDefault("unknown plan", 0));
        assertEquals(List.of("loss", "leap"), header.getGapsList().stream().map(g -> g.getKind()).toList());
        // To the second only, an end's line can't tell whether its beginning was in the same one.
        double allowed = form.equals("w3c") || form.equals("combined") ? 0.07 : 0.02;
        double apart = apart(truth.asks(), asks(read(trace)));
        assertTrue(apart <= allowed, form + ": " + apart + " of the requests are not where they were");
    }

    @Test
    void aSourceWithTooManyBadLinesIsRefusedAndNothingIsWritten() throws IOException {
        Path log = directory.resolve("log");
        SourceMaker.make(log, "nginx", day().service(), 5, 60 * SECOND, 2, 100, 20 * SECOND,
            new SourceMaker.Faults(0, 0, 0, 0, 0.1, 0, 0));
        Path trace = directory.resolve("trace");
        String why = assertThrows(Importer.Refused.class, () -> importer(SourceMaker.mapping("nginx"))
            .run(Map.of("", List.of(log)), trace, false, share -> { })).getMessage();
        assertTrue(why.contains(log + ":"), why);
        assertFalse(Files.exists(trace));
        importer(SourceMaker.mapping("nginx")).run(Map.of("", List.of(log)), trace, true, share -> { });
        assertTrue(Files.exists(trace));
    }

    @Test
    void twoServersWithClocksApartAreFoundAndBroughtTogether() throws IOException {
        Path log = directory.resolve("log");
        SourceMaker.make(log, "apache", day().service(), 5, 120 * SECOND, 4, 300, 30 * SECOND, SourceMaker.Faults.NONE);
        List<String> east = new ArrayList<>();
        List<String> west = new ArrayList<>();
        for (String line : Files.readAllLines(log)) {
            // Every third second goes to the other server, whose clock is seven seconds ahead.
            long us = Long.parseLong(line.substring(0, line.indexOf('|')));
            if (us / 3_000_000 % 2 == 0) {
                east.add(line);
            } else {
                west.add(us + 7_000_000 + line.substring(line.indexOf('|')));
            }
        }
        Path a = Files.write(directory.resolve("a"), east);
        Path b = Files.write(directory.resolve("b"), west);
        Path whole = directory.resolve("whole");
        Path parts = directory.resolve("parts");
        String map = SourceMaker.mapping("apache");
        importer(map).run(Map.of("", List.of(log)), whole, false, share -> { });
        Map<String, List<Path>> servers = new LinkedHashMap<>();
        servers.put("east", List.of(a));
        servers.put("west", List.of(b));
        Importer found = importer(map + "\nclocks: {find: true}\n");
        found.run(servers, parts, false, share -> { });
        assertEquals(-7, found.offsetsUsed().get("west") / 1e9, 0.1);
        assertEquals(read(whole).size(), read(parts).size());
        assertTrue(apart(asks(read(whole)), asks(read(parts))) < 0.1);
        Importer stated = importer(map + "\nclocks: {offsets: {west: -7s}}\n");
        stated.run(servers, parts, false, share -> { });
        assertEquals(read(whole), read(parts), "stated to the nanosecond, the parts are the whole");
    }

    @Test
    void keyedIdsDifferFromPlainOnesAndFromThoseOfAnotherKey() {
        long plain = Ids.plain().applyAsLong("sid:a");
        long one = Ids.keyed(new byte[32]).applyAsLong("sid:a");
        byte[] other = new byte[32];
        other[3] = 1;
        assertEquals(3, java.util.Set.of(plain, one, Ids.keyed(other).applyAsLong("sid:a")).size());
        assertEquals(one, Ids.keyed(new byte[32]).applyAsLong("sid:a"));
    }

    @Test
    void faultsOfAMappingComeAllAtOnceWithTheirLines() {
        Doc doc = Doc.parse("map", "source: {format: apache, log-format: '%h%U'}\nsessions: {ids: [shoe]}\n"
            + "requests:\n  - {kind: ask, uri: '/{a}/{a}'}\n  - {kind: segment, uri: '/x', rung: '{nope}'}\ntypo: 1\n");
        Mapping.read(doc);
        String faults = String.join("\n", assertThrows(cypressvalve.config.BadSettings.class, doc::verify)
            .getMessage().lines().toList());
        for (String expected : List.of("map:1: source.log-format", "map:2: sessions.ids", "map:4: requests[0].uri",
            "map:5: requests[1].rung", "map:6: typo")) {
            assertTrue(faults.contains(expected), expected + " not in\n" + faults);
        }
    }
}
