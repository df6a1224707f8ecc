package cypressvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.adapter.Adapter;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays every file under scenarios/; their notation is described in scenarios/README. */
class ScenarioTest {
    private static final Path FOLDER = Path.of("src/test/resources/scenarios");

    static Stream<String> decisions() throws IOException {
        return files(".txt");
    }

    static Stream<String> wire() throws IOException {
        return files(".wire");
    }

    private static Stream<String> files(String ending) throws IOException {
        try (Stream<Path> files = Files.list(FOLDER)) {
            List<String> names = files.map(f -> f.getFileName().toString()).filter(n -> n.endsWith(ending))
                .sorted().toList();
            assertFalse(names.isEmpty(), "no scenario ends in " + ending);
            return names.stream();
        }
    }

    @ParameterizedTest
    @MethodSource("decisions")
    void decides(String name) throws IOException {
        Stage stage = new Stage();
        int checks = 0;
        int number = 0;
        for (String line : Files.readAllLines(FOLDER.resolve(name))) {
            number++;
            String where = name + ":" + number + " " + line + "\ngot " + stage.acts;
            String[] words = line.strip().split("\\s+", 2);
            switch (words[0]) {
                case "", "#" -> { }
                case "expect" -> {
                    assertTrue(stage.acts.stream().anyMatch(a -> a.matches(words[1])), where);
                    checks++;
                }
                case "never" -> {
                    assertTrue(stage.acts.stream().noneMatch(a -> a.matches(words[1])), where);
                    checks++;
                }
                default -> stage.play(line.strip());
            }
        }
        assertTrue(checks > 0, name + " checks nothing");
    }

    @ParameterizedTest
    @MethodSource("wire")
    void speaks(String name) throws IOException {
        List<String> lines = Files.readAllLines(FOLDER.resolve(name));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        byte[] in = part(lines, "> ").getBytes(StandardCharsets.UTF_8);
        int exit = Adapter.run(new ByteArrayInputStream(in), out,
            new PrintStream(err, true, StandardCharsets.UTF_8));
        assertEquals(part(lines, "! "), err.toString(StandardCharsets.UTF_8));
        assertEquals(part(lines, "< "), out.toString(StandardCharsets.UTF_8));
        assertEquals(part(lines, "! ").isEmpty() ? 0 : 1, exit);
    }

    private static String part(List<String> lines, String mark) {
        return lines.stream().filter(l -> l.startsWith(mark)).map(l -> l.substring(2) + "\n")
            .collect(Collectors.joining());
    }
}
