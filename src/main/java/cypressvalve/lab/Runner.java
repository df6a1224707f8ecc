package cypressvalve.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.judge.Finding;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

/**
 * Runs an experiment's cells on so many threads, one run a thread, and keeps each result as it comes, a JSON line. A
 * runner that was stopped goes on where it was: what the file has is not run again.
 */
public final class Runner {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Runner() {
    }

    /** Results that a file has, by cell and seed; a line cut off by a sudden stop is left out. */
    static Map<String, RunResult> known(Path file) throws IOException {
        Map<String, RunResult> known = new LinkedHashMap<>();
        if (!Files.exists(file)) {
            return known;
        }
        List<String> lines = Files.readAllLines(file);
        for (int i = 0; i < lines.size(); i++) {
            try {
                JsonNode node = JSON.readTree(lines.get(i));
                Map<String, Double> figures = new LinkedHashMap<>();
                node.path("figures").fields().forEachRemaining(f -> figures.put(f.getKey(), f.getValue().asDouble()));
                RunResult result = new RunResult(node.path("cell").asText(), node.path("seed").asLong(), figures);
                known.put(key(result.cell(), result.seed()), result);
            } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                if (i < lines.size() - 1) {
                    throw new IOException(file + ":" + (i + 1) + ": expected a result as a JSON object");
                }
            }
        }
        return known;
    }

    private static String key(String cell, long seed) {
        return seed + " " + cell;
    }

    /**
     * Runs what the file does not have yet.
     *
     * @param progress told runs done and all
     * @return all results, in the order of cells and seeds whatever order they came in
     */
    public static List<RunResult> run(Experiment experiment, Path file, int threads,
        BiConsumer<Integer, Integer> progress) throws IOException, InterruptedException {
        Map<String, RunResult> known = known(file);
        int all = experiment.cells().size() * experiment.seeds().size();
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        ExecutorCompletionService<RunResult> runs = new ExecutorCompletionService<>(pool);
        int open = 0;
        try (BufferedWriter out = Files.newBufferedWriter(file, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
            StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            // Written anew, so that a line cut off does not spoil the next.
            for (RunResult result : known.values()) {
                write(out, result);
            }
            out.flush();
            for (long seed : experiment.seeds()) {
                for (Experiment.Cell cell : experiment.cells()) {
                    if (!known.containsKey(key(cell.name(), seed))) {
                        runs.submit(() -> one(cell, seed));
                        open++;
                    }
                }
            }
            for (; open > 0; open--) {
                RunResult result = runs.take().get();
                known.put(key(result.cell(), result.seed()), result);
                write(out, result);
                out.flush();
                progress.accept(all - open + 1, all);
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
        List<RunResult> results = new ArrayList<>();
        for (Experiment.Cell cell : experiment.cells()) {
            for (long seed : experiment.seeds()) {
                results.add(known.get(key(cell.name(), seed)));
            }
        }
        return results;
    }

    private static void write(BufferedWriter out, RunResult result) throws IOException {
        out.write(JSON.writeValueAsString(Map.of("cell", result.cell(), "seed", result.seed(), "figures",
            result.figures())));
        out.write('\n');
    }

    /** One cell with several seeds, on all cores; in the order of seeds. */
    public static List<RunResult> all(Experiment.Cell cell, long from, int seeds) {
        return java.util.stream.LongStream.range(from, from + seeds).parallel().mapToObj(seed -> one(cell, seed)).toList();
    }

    /** One cell with one seed. */
    static RunResult one(Experiment.Cell cell, long seed) {
        long began = System.nanoTime();
        Lab lab = new Lab(cell.day(seed), cell.policy());
        Map<Integer, List<Finding>> findings = lab.play(share -> { });
        return RunResult.of(cell.name(), seed, lab.summary(), findings, lab.departures(), lab.events(),
            (System.nanoTime() - began) / 1e9);
    }
}
