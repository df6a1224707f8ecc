package cypressvalve.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.BadSettings;
import cypressvalve.config.Doc;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExperimentTest {
    private static final String DAY = """
        day: {name: short, seed: 1, length: 8s}
        gateways: {count: 2}
        hosts: {count: 4, link: 900, link-spread: 0, cores: 2, work: 20ms}
        titles: {recorded: 6, copies: 2, length: 60s}
        viewers: {rate: 6, length: 8s, plans: {plain: 1}}
        service:
          ladder: [40, 80, 160]
          revenue: [0.3, 0.6, 1]
          plans: [{name: plain, startup: 1s, abandon: 3s}]
          fleet: {cells: 4, link: 900, kinds: [{name: std, places: 40}]}
          reports: {via: answers, note-period: 1s, note-delay: 100ms}
        """;
    private static final String GRID = """
        experiment:
          name: small
          seeds: {from: 5, count: 3}
          days: [day.yaml]
          policies: [control, plain-hash]
          set: {hosts.link: [900, 300]}
        """;

    @TempDir
    Path directory;

    private Experiment experiment(String grid) throws IOException {
        Files.writeString(directory.resolve("day.yaml"), DAY);
        return Experiment.read(Doc.parse("grid", grid), directory);
    }

    @Test
    void everyCellIsRunWithEverySeedAndTheOrderOfThreadsDoesNotShow() throws Exception {
        Experiment experiment = experiment(GRID);
        assertEquals(4, experiment.cells().size());
        List<RunResult> one = Runner.run(experiment, directory.resolve("one"), 1, (done, all) -> { });
        List<RunResult> four = Runner.run(experiment, directory.resolve("four"), 4, (done, all) -> { });
        assertEquals(12, one.size());
        for (int i = 0; i < 12; i++) {
            assertEquals(one.get(i).cell(), four.get(i).cell());
            for (String figure : RunResult.COMPARED) {
                assertEquals(one.get(i).figures().get(figure), four.get(i).figures().get(figure), figure);
            }
        }
        assertTrue(one.get(0).figures().get("viewers") > 20);
        assertEquals(one.get(0).figures().get("viewers"), one.get(3).figures().get("viewers"),
            "the same seed brings the same crowd to each cell");
    }

    @Test
    void aStoppedExperimentGoesOnWhereItWas() throws Exception {
        Experiment experiment = experiment(GRID);
        Path file = directory.resolve("results");
        List<RunResult> whole = Runner.run(experiment, file, 2, (done, all) -> { });
        List<String> lines = Files.readAllLines(file);
        Files.write(file, List.of(lines.get(0), lines.get(1), lines.get(2).substring(0, 20)));
        List<Integer> done = new ArrayList<>();
        List<RunResult> again = Runner.run(experiment, file, 2, (n, all) -> done.add(n));
        assertEquals(10, done.size(), "two were there, the line cut off was not");
        assertEquals(12, done.get(9));
        assertEquals(12, Files.readAllLines(file).size());
        for (int i = 0; i < 12; i++) {
            assertEquals(whole.get(i).figures().get("startupMet"), again.get(i).figures().get("startupMet"));
        }
    }

    @Test
    void faultsOfGridAndDaysComeBeforeAnythingRuns() throws Exception {
        assertThrows(BadSettings.class, () -> experiment(GRID.replace("plain-hash", "by-luck")));
        String typo = assertThrows(BadSettings.class, () -> experiment(GRID.replace("hosts.link", "hosts.lnik")))
            .getMessage();
        assertTrue(typo.contains("hosts.lnik"), typo);
        String nowhere = assertThrows(BadSettings.class, () -> experiment(GRID.replace("hosts.link", "host.link.x")))
            .getMessage();
        assertTrue(nowhere.contains("host.link.x"), nowhere);
    }

    private static RunResult result(String cell, long seed, double startup, double rung) {
        return new RunResult(cell, seed, Map.of("startupMet", startup, "rung", rung));
    }

    @Test
    void aDifferenceIsRealOnlyIfChanceHardlyMakesIt() {
        List<RunResult> results = new ArrayList<>();
        for (long seed = 0; seed < 10; seed++) {
            double day = 0.9 + 0.01 * (seed * 7 % 5);
            results.add(result("base", seed, day, 1 + 0.1 * (seed * 3 % 7)));
            results.add(result("better", seed, day + 0.02 + 0.001 * (seed % 3), 1 + 0.1 * (seed * 5 % 7)));
            results.add(result("same", seed, day, 1 + 0.1 * (seed * 3 % 7)));
        }
        Comparison comparison = new Comparison(results);
        List<Comparison.Difference> found = comparison.differences(List.of("startupMet", "rung"));
        assertEquals(4, found.size());
        assertTrue(found.get(0).real(), "by two points on each day, though days differ by more");
        assertEquals(0.021, found.get(0).mean().mean(), 0.001);
        assertFalse(found.get(1).real());
        assertFalse(found.get(2).real() || found.get(3).real(), "no difference at all is none");
        Comparison.Mean mean = comparison.mean("base", "startupMet");
        assertTrue(mean.half() > 0 && mean.half() < 0.03);
    }

    @Test
    void manyQuestionsFindNoMoreByChanceThanOneWould() {
        List<RunResult> results = new ArrayList<>();
        java.util.Random chance = new java.util.Random(4);
        for (long seed = 0; seed < 12; seed++) {
            for (int cell = 0; cell < 40; cell++) {
                results.add(result("c" + cell, seed, chance.nextGaussian(), chance.nextGaussian()));
            }
        }
        long real = new Comparison(results).differences(List.of("startupMet", "rung")).stream()
            .filter(Comparison.Difference::real).count();
        assertEquals(0, real, "of 78 differences that are none");
    }

    @Test
    void controlServesMoreThanAPlainHashWhereOneHolderIsNotEnough() throws Exception {
        Experiment experiment = experiment(GRID.replace("set: {hosts.link: [900, 300]}", "set: {hosts.link: [500]}"));
        List<RunResult> results = Runner.run(experiment, directory.resolve("results"), 4, (done, all) -> { });
        Comparison comparison = new Comparison(results);
        assertTrue(comparison.mean(comparison.cells().get(0), "delivered").mean()
            > comparison.mean(comparison.cells().get(1), "delivered").mean() + 0.05);
    }
}
