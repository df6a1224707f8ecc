package cypressvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exit codes and words of the load, lab and plan commands: 0 fine, 1 bad input, 2 usage. */
class LoadCommandsTest {
    @TempDir
    Path directory;

    private String said = "";

    private int run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrintStream both = new PrintStream(text, true, StandardCharsets.UTF_8);
        System.setOut(both);
        System.setErr(both);
        try {
            return Commands.execute(args);
        } finally {
            System.setOut(out);
            System.setErr(err);
            said = text.toString(StandardCharsets.UTF_8);
        }
    }

    private String path(String name) {
        return directory.resolve(name).toString();
    }

    @Test
    void aSourceBecomesATraceAndIsShownCutJoinedAndPlanned() throws Exception {
        assertEquals(0, run("load", "make", path("log"), "--form", "apache", "--span", "60s", "--rate", "3", "--length",
            "8s", "--map", path("map")));
        assertEquals(0, run("load", "import", path("log"), "--map", path("map"), "-o", path("t")));
        assertTrue(said.contains("set aside 0 + bad 0"), said);
        assertEquals(0, run("load", "show", path("t"), "--html", path("t.html")));
        assertTrue(said.contains("recorded-plus") && said.contains("requests a second"), said);
        assertTrue(Files.readString(directory.resolve("t.html")).contains("data:image/png;base64,"));
        assertEquals(0, run("load", "cut", path("t"), "--for", "20s", "-o", path("a")));
        assertEquals(0, run("load", "thin", path("t"), "--to", "0.5", "-o", path("half")));
        assertEquals(0, run("load", "multiply", path("a"), "--by", "3", "-o", path("a3")));
        assertTrue(said.contains("multiply by 3"), said);
        assertEquals(0, run("load", "shift", path("t"), "--later", "1h", "-o", path("later")));
        assertEquals(0, run("load", "join", path("t"), path("later"), "-o", path("both")));
        Files.writeString(directory.resolve("day.yaml"), Scripts.builtIn());
        assertEquals(0, run("plan", "bottleneck", path("day.yaml"), "--trace", path("t"), "--json"));
        assertTrue(said.contains("\"resource\" : \"links\""), said);
        assertEquals(0, run("lab", "run", path("day.yaml"), "--trace", path("a"), "--tape", path("tape")));
        assertTrue(said.startsWith("10 % ") && said.contains("simulated: default"), said);
        assertEquals(0, run("judge", path("tape")));
        assertEquals(0, run("load", "report", path("tape"), path("tape"), "-o", path("both.html")));
    }

    @Test
    void badInputIsOneClearErrorAndLeavesNothingBehind() throws Exception {
        Files.writeString(directory.resolve("log"), "no line of any log\n".repeat(50));
        assertEquals(1, run("load", "import", path("log"), "-o", path("t")));
        assertTrue(said.contains("log:1:") && said.contains("expected"), said);
        assertFalse(Files.exists(directory.resolve("t")));
        assertEquals(1, run("load", "import", path("nowhere"), "-o", path("t")));
        assertEquals(1, run("load", "show", path("log")));
        assertTrue(said.contains("at byte 0"), said);
        Files.writeString(directory.resolve("map"), "source: {format: nothing}\n");
        assertEquals(1, run("load", "import", path("log"), "--map", path("map"), "-o", path("t")));
        assertTrue(said.contains("map:1: source.format"), said);
        Files.writeString(directory.resolve("key"), "short");
        assertEquals(1, run("load", "import", path("log"), "--key", path("key"), "-o", path("t")));
        run("load", "make", path("log"), "--span", "20s", "--length", "300s", "--rate", "1", "--map", path("map"));
        assertEquals(0, run("load", "import", path("log"), "--map", path("map"), "-o", path("t")));
        Files.writeString(directory.resolve("day.yaml"), Scripts.builtIn());
        byte[] trace = Files.readAllBytes(directory.resolve("t"));
        Files.write(directory.resolve("cut"), Arrays.copyOf(trace, trace.length / 2));
        assertEquals(1, run("load", "replay", path("cut")));
        assertTrue(said.contains("at byte") && !said.contains("sent"), said);
        Files.writeString(directory.resolve("day.yaml"), Scripts.builtIn().replace("recorded-plus", "other"));
        assertEquals(1, run("load", "replay", path("t"), "--day", path("day.yaml")));
        assertTrue(said.contains("recorded-plus"), said);
    }

    @Test
    void mappingsAndExperimentsAreCheckedWithTheDaysThatTheyName() throws Exception {
        Files.writeString(directory.resolve("day.yaml"), Scripts.builtIn());
        String grid = "experiment: {name: x, seeds: {count: 2}, days: [day.yaml], set: {viewers.rate: [1, 2]}}\n";
        Files.writeString(directory.resolve("grid.yaml"), grid);
        assertEquals(0, run("config", "check", path("grid.yaml"), path("day.yaml")));
        Files.writeString(directory.resolve("grid.yaml"), grid.replace("viewers.rate", "viewers.rat"));
        assertEquals(1, run("config", "check", path("grid.yaml")));
        assertTrue(said.contains("viewers.rat"), said);
        Files.writeString(directory.resolve("grid.yaml"), grid.replace("day.yaml", "none.yaml"));
        assertEquals(1, run("config", "check", path("grid.yaml")));
        Files.writeString(directory.resolve("map.yaml"), "source: {format: own}\nrequests: []\n");
        assertEquals(1, run("config", "check", path("map.yaml")));
    }

    @Test
    void usageErrorsAreTwo() {
        assertEquals(2, run("load"));
        assertEquals(2, run("load", "import", path("x")));
        assertEquals(2, run("load", "cut", path("x"), "--for", "soon", "-o", path("y")));
        assertEquals(2, run("load", "replay", path("x"), "--share", "3/2"));
        assertEquals(2, run("load", "replay", path("x"), "--retries", "both"));
        assertEquals(2, run("plan", "capacity", path("x"), "--startup", "7"));
        assertEquals(2, run("lab"));
        assertEquals(0, run("load", "replay", "--help"));
    }
}
