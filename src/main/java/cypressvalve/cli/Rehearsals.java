package cypressvalve.cli;

import cypressvalve.judge.Finding;
import cypressvalve.lab.RunResult;
import cypressvalve.lab.Trials;
import cypressvalve.rehearsal.Rehearsal;
import cypressvalve.tape.Tape;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Rehearsals on loopback of a planned day and its variants, the seeds of one variant side by side. */
final class Rehearsals {
    private final Trials trials;
    private final long from;
    private final int seeds;
    private final Consumer<String> progress;

    Rehearsals(Trials trials, long from, int seeds, Consumer<String> progress) {
        this.trials = trials;
        this.from = from;
        this.seeds = seeds;
        this.progress = progress;
    }

    /** All seeds of a variant; the figure "broken" counts findings against rules. */
    List<RunResult> runs(Map<String, String> settings) throws IOException {
        ExecutorService pool = Executors.newFixedThreadPool(seeds);
        try {
            List<Future<RunResult>> runs = new ArrayList<>();
            for (int i = 0; i < seeds; i++) {
                DayScript day = trials.day(settings, null, from + i);
                runs.add(pool.submit(() -> run(day)));
            }
            List<RunResult> results = new ArrayList<>();
            for (Future<RunResult> run : runs) {
                results.add(run.get());
            }
            return results;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while rehearsing", e);
        } catch (ExecutionException e) {
            throw new IOException("a rehearsal failed", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private RunResult run(DayScript day) throws IOException, InterruptedException {
        int[] second = new int[1];
        try (Tape tape = Tape.heard()) {
            Rehearsal rehearsal = new Rehearsal(day, tape);
            Map<Integer, List<Finding>> findings = rehearsal.play(line -> {
                if (++second[0] % 10 == 0) {
                    progress.accept("loopback, seed " + day.seed() + ": " + line);
                }
            });
            return new RunResult("loopback", day.seed(), Map.of("service", rehearsal.summary().startupMet()
                * rehearsal.summary().deliveredShare(), "startupMet", rehearsal.summary().startupMet(), "delivered",
                rehearsal.summary().deliveredShare(), "rung", rehearsal.summary().meanRung(), "broken",
                (double) findings.values().stream().mapToInt(List::size).sum()));
        }
    }
}
