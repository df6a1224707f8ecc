package cypressvalve.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.Doc;
import cypressvalve.load.make.SourceMaker;
import cypressvalve.load.map.Mapping;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceEdit;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.load.trace.wire.Header;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Properties that hold for any source; the seed is fixed, so that each run has the same verdict. */
class AnyInputTest {
    private static final long SECOND = 1_000_000_000L;
    private static Path directory;

    @BeforeContainer
    static void begin() throws IOException {
        directory = Files.createTempDirectory("any-input");
    }

    @AfterContainer
    static void end() throws IOException {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    private static Header imported(String map, Path log, Path trace) throws IOException {
        Doc doc = Doc.parse("map", map);
        Mapping mapping = Mapping.read(doc);
        doc.verify();
        return new Importer(mapping, map, Ids.plain(), "hash").run(Map.of("", List.of(log)), trace, true, s -> { });
    }

    private static void addsUp(Header header) {
        assertEquals(header.getLines(), header.getUsed() + header.getBad()
            + header.getAsideMap().values().stream().mapToLong(Long::longValue).sum());
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

    @Provide
    Arbitrary<String> form() {
        return Arbitraries.of(SourceMaker.forms());
    }

    /** Text that is near to a log's, and text that is not. */
    @Provide
    Arbitrary<String> text() {
        Arbitrary<String> piece = Arbitraries.of("\"", "\\", "[", "]", " ", "\n", "{", "}", "|", "#Fields: date time ",
            "cs-uri-stem\n", "10/Oct/2000:13:55:36 -0700", "GET /vod/r1/recorded/master.m3u8 HTTP/1.1", "\\x", "200",
            "99999999999999999999", "-", "\u0000", "\r\n", "#Date: ", "{\"log\":{\"entries\":[", "1774746003500000|h|\"",
            "2026-01-05 08:00:00", "\ud800", "%", "192.0.2.1 - - ");
        return Arbitraries.oneOf(Arbitraries.strings().all().ofMaxLength(200),
            piece.list().ofMaxSize(40).map(l -> String.join("", l)));
    }

    @Property(tries = 400, seed = "20", shrinking = ShrinkingMode.OFF)
    void anyTextIsSurvivedAndCountsAddUp(@ForAll("form") String form, @ForAll("text") String text)
        throws IOException {
        Path log = Files.write(directory.resolve("log"), text.getBytes(StandardCharsets.UTF_8));
        Header header = imported(SourceMaker.mapping(form), log, directory.resolve("trace"));
        addsUp(header);
        if (!form.equals("har")) {
            long lines = text.isEmpty() ? 0 : text.chars().filter(c -> c == '\n').count()
                + (text.endsWith("\n") ? 0 : 1);
            assertEquals(lines, header.getLines());
        }
    }

    @Property(tries = 60, seed = "21", shrinking = ShrinkingMode.OFF)
    void anyBytesInTheMiddleOfAGoodLogSpoilNoOtherLine(@ForAll byte[] bytes, @ForAll("form") String form)
        throws IOException {
        if (form.equals("har") || form.equals("w3c")) {
            return; // A HAR file is one text, and a W3C log may be given a new header by the bytes.
        }
        Path good = directory.resolve("good");
        SourceMaker.make(good, form, ImportTest.day().service(), 3, 20 * SECOND, 3, 20, 10 * SECOND,
            SourceMaker.Faults.NONE);
        List<String> lines = Files.readAllLines(good);
        Path spoilt = directory.resolve("spoilt");
        try (var out = Files.newOutputStream(spoilt)) {
            for (int i = 0; i < lines.size(); i++) {
                if (i == lines.size() / 2) {
                    out.write(bytes);
                    out.write('\n');
                }
                out.write((lines.get(i) + "\n").getBytes(StandardCharsets.UTF_8));
            }
        }
        String map = SourceMaker.mapping(form);
        imported(map, good, directory.resolve("a"));
        Header header = imported(map, spoilt, directory.resolve("b"));
        addsUp(header);
        assertEquals(read(directory.resolve("a")), read(directory.resolve("b")));
    }

    @Provide
    Arbitrary<int[]> cut() {
        return Combinators.combine(Arbitraries.integers().between(0, 1000), Arbitraries.integers().between(1, 500))
            .as((at, seed) -> new int[] {at, seed});
    }

    @Property(tries = 60, seed = "22", shrinking = ShrinkingMode.OFF)
    void twoHalvesJoinedAreTheWhole(@ForAll("cut") int[] cut) throws IOException {
        Path log = directory.resolve("log");
        SourceMaker.make(log, "apache", ImportTest.day().service(), cut[1], 90 * SECOND, 2, 60, 20 * SECOND,
            SourceMaker.Faults.NONE);
        List<String> lines = Files.readAllLines(log);
        int at = Math.max(1, Math.min(lines.size() - 1, lines.size() * cut[0] / 1000));
        Path a = Files.write(directory.resolve("a.log"), lines.subList(0, at));
        Path b = Files.write(directory.resolve("b.log"), lines.subList(at, lines.size()));
        String map = SourceMaker.mapping("apache");
        Header whole = imported(map, log, directory.resolve("whole"));
        imported(map, a, directory.resolve("a"));
        imported(map, b, directory.resolve("b"));
        TraceEdit.join(directory.resolve("a"), directory.resolve("b"), directory.resolve("both"));
        assertEquals(read(directory.resolve("whole")), read(directory.resolve("both")));
        try (TraceReader both = TraceReader.open(directory.resolve("both"))) {
            assertEquals(whole.getLines(), both.header().getLines());
            assertEquals(whole.getUsed(), both.header().getUsed());
            assertEquals(whole.getSpan(), both.header().getSpan());
            assertEquals(whole.getPlaybacks(), both.header().getPlaybacks());
        }
        addsUp(whole);
    }

    @Property(tries = 60, seed = "23", shrinking = ShrinkingMode.OFF)
    void whatOneProgramWritesReadsAsWhatAnotherDoes(@ForAll("cut") int[] cut) throws IOException {
        // The same viewers written down by three programs that keep fractions of a second and an id.
        List<List<String>> seen = new ArrayList<>();
        for (String form : List.of("apache", "nginx", "har")) {
            Path log = directory.resolve("log");
            SourceMaker.make(log, form, ImportTest.day().service(), cut[1], 30 * SECOND, 2, 30, 10 * SECOND,
                SourceMaker.Faults.NONE);
            imported(SourceMaker.mapping(form), log, directory.resolve("trace"));
            seen.add(read(directory.resolve("trace")).stream().map(p -> p.title() + " " + p.plan() + " " + p.tenant() + " "
                + p.segments() + " " + p.lastSegment() + " " + p.screen() + " " + p.tries().size() + " "
                + p.started()).sorted().toList());
        }
        assertTrue(!seen.get(0).isEmpty());
        assertEquals(seen.get(0), seen.get(1));
        assertEquals(seen.get(0), seen.get(2));
    }
}
