package cypressvalve.load.source;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.Doc;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FormatsTest {
    private static final long SECOND = 1_000_000_000L;

    @TempDir
    Path directory;

    private static long at(String iso) {
        Instant at = Instant.parse(iso);
        return at.getEpochSecond() * SECOND + at.getNano();
    }

    private static Hit hit(LineFormat format, String line) throws BadLine {
        HitMaker maker = new HitMaker(new Times(ZoneId.of("UTC")), 0, 0);
        maker.begin();
        format.read(line, maker);
        return maker.hit(1);
    }

    private List<Item> items(String settings, String... lines) throws IOException {
        Doc doc = Doc.parse("map", "source: " + settings);
        SourceSettings source = SourceSettings.read(doc.root().section("source"));
        doc.verify();
        Path file = directory.resolve("log");
        Files.writeString(file, String.join("\n", lines));
        return all(LogFiles.open(List.of(file), source, 0, 0));
    }

    private static List<Item> all(Source source) throws IOException {
        List<Item> items = new ArrayList<>();
        try (source) {
            for (Item item = source.next(); item != null; item = source.next()) {
                items.add(item);
            }
        }
        return items;
    }

    @Test
    void readsCombinedLinesWithQuotesInAgents() throws Exception {
        Hit hit = hit(Formats.ncsa(true), "192.0.2.7 - frank [10/Oct/2000:13:55:36 -0700] \"GET /a/b.m3u8?x=1 HTTP/1.0\""
            + " 200 2326 \"-\" \"Box \\\"Living Room\\\" \\\\ 7\"");
        assertEquals("192.0.2.7", hit.client());
        assertEquals("/a/b.m3u8?x=1", hit.uri());
        assertEquals("Box \"Living Room\" \\ 7", hit.agent());
        assertEquals(200, hit.status());
        assertEquals(2326, hit.bytes());
        assertEquals(at("2000-10-10T20:55:36Z"), hit.at());
        assertTrue(hit.coarse());
    }

    @Test
    void aLineIsRefusedWholeWithColumnAndExpectation() {
        BadLine quote = assertThrows(BadLine.class, () -> hit(Formats.ncsa(false),
            "192.0.2.7 - - [10/Oct/2000:13:55:36 -0700] \"GET / HTTP/1.0 200 2326"));
        assertEquals(68, quote.column());
        BadLine time = assertThrows(BadLine.class, () -> hit(Formats.ncsa(false),
            "192.0.2.7 - - [10/Foo/2000:13:55:36 -0700] \"GET / HTTP/1.0\" 200 2326"));
        assertEquals(16, time.column());
        assertTrue(time.getMessage().startsWith("a time"));
        BadLine more = assertThrows(BadLine.class, () -> hit(Formats.apache("%{sec}t|%U|%s|"), "1|/|200|x"));
        assertEquals(9, more.column());
        BadLine escape = assertThrows(BadLine.class, () -> hit(Formats.ncsa(true),
            "h - - [10/Oct/2000:13:55:36 -0700] \"GET / HTTP/1.0\" 200 1 \"-\" \"a\\q\""));
        assertTrue(escape.getMessage().contains("escape"));
    }

    @Test
    void nginxDirectivesComeAsTheyStandInAConfiguration() throws Exception {
        String config = "user www;\nhttp {\n  # a comment; with { in it\n  log_format video escape=default '$remote_addr"
            + " [$time_local] \"$request\" '\n    '$status ${request_time}s \"$http_user_agent\" $msec';\n"
            + "  server { location ~ \\.ts$ { root /x; } }\n}\n";
        Hit hit = hit(Formats.nginx(Formats.nginxConfig(config).get("video")), "192.0.2.1 [29/Mar/2026:01:00:03 +0000] "
            + "\"GET /x.ts HTTP/1.1\" 206 1.250s \"a\\x22b\" 1774746003.500");
        assertEquals("a\"b", hit.agent());
        assertEquals(1_250_000_000L, hit.took());
        assertEquals(at("2026-03-29T01:00:02.250Z"), hit.at(), "nginx logs a request when it has answered");
        assertTrue(!hit.coarse(), "the finest time of a line counts");
    }

    @Test
    void apacheDirectivesWithModifiersArgumentsAndOwnTimes() throws Exception {
        String config = "# old\nLogFormat \"%h %t\" short\nLogFormat \"%{%d/%b/%Y %T}t.%{msec_frac}t %400,501{Via}i %>s "
            + "\\\"%r\\\" %D %{sess}C\" \\\n  long\nCustomLog logs/a long env=!x\n";
        LineFormat format = Formats.apache(Formats.apacheConfig(config).get("long"));
        Hit hit = hit(format, "10/Oct/2000 13:55:36.123 - 304 \"GET /v.m3u8 HTTP/1.1\" 5000 abc");
        assertEquals(at("2000-10-10T13:55:36Z"), hit.at());
        assertEquals(5_000_000, hit.took());
        assertEquals("abc", hit.more().get("cookie:sess"));
    }

    @Test
    void formatsThatCannotBeReadAreRefusedWithTheReason() {
        assertTrue(assertThrows(Formats.BadFormat.class, () -> Formats.apache("%h%U %t")).getMessage()
            .contains("nothing between"));
        assertTrue(assertThrows(Formats.BadFormat.class, () -> Formats.apache("%h %s")).getMessage()
            .contains("time"));
        assertTrue(assertThrows(Formats.BadFormat.class, () -> Formats.apache("%t %s")).getMessage()
            .contains("URI"));
        assertEquals(2, assertThrows(Formats.BadFormat.class, () -> Formats.nginxConfig("http {\nlog_format x 'abc;\n"))
            .line());
    }

    @Test
    void w3cHeadersMayChangeInMidFile() throws Exception {
        List<Item> items = items("{format: w3c}", "#Version: 1.0", "#Date: 2026-03-29 00:00:00",
            "#Fields: time c-ip cs-uri-stem sc-status", "10:00:00 192.0.2.1 /a 200", "10:00:01 192.0.2.1 /b",
            "#Fields: date time cs-uri-stem cs-uri-query cs(User-Agent)", "2026-03-30 11:00:00.250 /c q=1 \"a \"\"b\"\"\"",
            "2026-03-30 11:00:00 /d - x+y too many");
        assertEquals("/a", items.get(3).hit().uri());
        assertEquals(at("2026-03-29T10:00:00Z"), items.get(3).hit().at());
        assertTrue(items.get(4).bad());
        assertEquals("/c?q=1", items.get(6).hit().uri());
        assertEquals("a \"b\"", items.get(6).hit().agent());
        assertTrue(items.get(7).bad());
        assertTrue(items("{format: w3c}", "2026-03-30 11:00:00 /c").get(0).bad(), "no #Fields before it");
    }

    @Test
    void jsonLinesByNamedMembers() throws Exception {
        String map = "{format: json-lines, members: {time-millis: t, address: c.ip, uri: u, status: s}}";
        List<Item> items = items(map, "{\"t\":1774746003500,\"c\":{\"ip\":\"192.0.2.1\"},\"u\":\"/a\",\"s\":200}",
            "{\"t\":17747", "[1]", "{\"u\":\"/a\"}", "{\"t\":{},\"u\":\"/a\"}");
        assertEquals("192.0.2.1", items.get(0).hit().client());
        assertEquals(1_774_746_003_500_000_000L, items.get(0).hit().at());
        assertTrue(items.subList(1, 5).stream().allMatch(Item::bad));
    }

    @Test
    void harEntriesWithWhatBrowsersAddAndLeaveOut() throws Exception {
        String entry = "{\"_priority\":{\"a\":[1,2]},\"startedDateTime\":\"2026-03-29T10:00:00.125+02:00\",\"time\":-1,"
            + "\"pageref\":\"p1\",\"request\":{\"method\":\"GET\",\"url\":\"https://h.example/a?b=1\",\"headers\":["
            + "{\"name\":\"CMCD-Session\",\"value\":\"sid=\\\"x\\\"\"}]},\"response\":{\"status\":200,\"content\":"
            + "{\"text\":\"AAAA\",\"encoding\":\"base64\"},\"bodySize\":-1}}";
        String whole = "{\"log\":{\"version\":\"1.2\",\"pages\":[],\"entries\":[" + entry + ",{\"request\":5},7," + entry
            + "]},\"_x\":1}";
        List<Item> items = items("{format: har}", whole);
        assertEquals(4, items.size());
        assertEquals("/a?b=1", items.get(0).hit().uri());
        assertEquals("p1", items.get(0).hit().client());
        assertEquals("sid=\"x\"", items.get(0).hit().cmcd());
        assertEquals(at("2026-03-29T08:00:00.125Z"), items.get(0).hit().at());
        assertEquals(-1, items.get(0).hit().took());
        assertTrue(items.get(1).bad() && items.get(2).bad());
        assertEquals("/a?b=1", items.get(3).hit().uri(), "an entry after a bad one is read");
        List<Item> cut = items("{format: har}", whole.substring(0, whole.length() - 40));
        assertTrue(cut.get(cut.size() - 1).bad(), "a file cut off ends with one bad line");
        assertEquals(3, cut.stream().filter(Item::bad).count());
        assertTrue(items("{format: har}", "{\"log\":{}}").get(0).bad());
    }

    @Test
    void rotatedFilesAreReadInTheOrderOfTheirTimesAndCutGzipEndsBad() throws Exception {
        Path later = directory.resolve("access.log");
        Path sooner = directory.resolve("access.log.1.gz");
        Doc doc = Doc.parse("map", "source: {format: apache, log-format: \"%{sec}t|%U|%s\"}");
        SourceSettings source = SourceSettings.read(doc.root().section("source"));
        doc.verify();
        Files.writeString(later, "1774746004|/b|200\n");
        try (GZIPOutputStream out = new GZIPOutputStream(Files.newOutputStream(sooner))) {
            out.write("1774746003|/a|200\n".repeat(500).getBytes(StandardCharsets.UTF_8));
        }
        List<Item> items = all(LogFiles.open(List.of(later, sooner), source, 0, 0));
        assertEquals(501, items.size());
        assertEquals("/a", items.get(0).hit().uri());
        assertEquals(0, items.get(500).file());
        byte[] whole = Files.readAllBytes(sooner);
        Files.write(sooner, java.util.Arrays.copyOf(whole, whole.length - 12));
        List<Item> cut = all(LogFiles.open(List.of(sooner), source, 0, 0));
        assertTrue(cut.get(cut.size() - 1).bad());
    }

    @Test
    void theHourThatAZoneHasTwiceIsTakenInTheOrderOfTheFile() {
        Times times = new Times(ZoneId.of("Europe/Madrid"));
        long first = times.local(LocalDateTime.of(2026, 10, 25, 2, 10));
        long still = times.local(LocalDateTime.of(2026, 10, 25, 2, 50));
        long again = times.local(LocalDateTime.of(2026, 10, 25, 2, 10));
        assertEquals(at("2026-10-25T00:10:00Z"), first);
        assertEquals(2400 * SECOND, still - first);
        assertEquals(3600 * SECOND, again - first);
    }

    @Test
    void linesBeyondTheLimitAreBadAndTheNextIsRead() throws Exception {
        List<Item> items = items("{format: apache, log-format: \"%{sec}t|%U|%s\"}",
            "1774746003|/" + "a".repeat(LineSplitter.LONGEST) + "|200", "1774746003|/b|200");
        assertTrue(items.get(0).bad());
        assertEquals("/b", items.get(1).hit().uri());
    }
}
