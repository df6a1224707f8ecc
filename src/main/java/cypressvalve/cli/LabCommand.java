package cypressvalve.cli;

import cypressvalve.config.Doc;
import cypressvalve.judge.Finding;
import cypressvalve.lab.Comparison;
import cypressvalve.lab.Experiment;
import cypressvalve.lab.Lab;
import cypressvalve.lab.Policy;
import cypressvalve.lab.RunResult;
import cypressvalve.lab.Runner;
import cypressvalve.load.replay.Names;
import cypressvalve.load.replay.TraceCrowd;
import cypressvalve.load.report.ExperimentPage;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The laboratory. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Days in simulated time.",
    subcommands = {LabCommand.Run.class, LabCommand.Try.class})
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed: run or experiment");
    }

    /** One day. */
    @Command(name = "run", mixinStandardHelpOptions = true,
        description = "Plays a day's script in simulated time and judges it; all its figures are simulated.")
    static final class Run implements Callable<Integer> {
        @Parameters(arity = "0..1", paramLabel = "DAY", description = "the day's script (YAML); left out: a built-in day")
        private Path day;

        @Option(names = "--trace", paramLabel = "TRACE",
            description = "viewers of this trace in place of the day's; first tries only, the day's model comes again")
        private Path trace;

        @Option(names = "--tape", paramLabel = "FILE", description = "keep the tape in this file")
        private Path tape;

        @Option(names = "--seed", paramLabel = "N", description = "another seed than the script's")
        private Long seed;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Scripts.quietLogs();
            DayScript script = Scripts.day(day);
            if (seed != null) {
                script = script.withSeed(seed);
            }
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            long began = System.nanoTime();
            Lab lab;
            if (trace == null) {
                lab = new Lab(script);
            } else {
                Names names = Scripts.names(trace, Map.of(), script);
                script = script.withLength(Math.max(script.length(), TraceCrowd.span(trace)))
                    .withService(names.with(script.titles().copies(), script.titles().length()));
                lab = new Lab(script, Policy.CONTROL, TraceCrowd.of(trace, names, script.service()));
            }
            if (tape != null) {
                lab.keep(tape);
            }
            int[] tenths = new int[1];
            Map<Integer, List<Finding>> findings = lab.play(share -> {
                if ((int) (share * 10) > tenths[0]) {
                    tenths[0] = (int) (share * 10);
                    err.print(tenths[0] * 10 + " % ");
                    err.flush();
                }
            });
            err.println();
            double wall = (System.nanoTime() - began) / 1e9;
            out.println("simulated: " + script.name() + ", " + script.gateways().count() + " gateways, "
                + script.hosts().count() + " media hosts");
            out.println(lab.summary().text());
            out.printf(Locale.ROOT, "%.1f simulated seconds in %.2f s, %d events%n", script.length() / 1e9, wall,
                lab.events());
            boolean kept = RehearseCommand.print(out, findings);
            out.flush();
            return kept ? 0 : 1;
        }
    }

    /** A grid of days. */
    @Command(name = "experiment", mixinStandardHelpOptions = true,
        description = "Runs a grid of days, policies, settings and seeds in simulated time; goes on where it was stopped.")
    static final class Try implements Callable<Integer> {
        @Parameters(paramLabel = "EXPERIMENT", description = "the grid (YAML); docs/lab.md describes it")
        private Path file;

        @Option(names = {"-o", "--out"}, required = true, paramLabel = "FILE",
            description = "results, a JSON line a run; what is in it is not run again")
        private Path out;

        @Option(names = "--threads", paramLabel = "N", description = "runs at once (default: one a core)")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Option(names = "--report", paramLabel = "FILE", description = "write a report with plots (HTML)")
        private Path report;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Scripts.quietLogs();
            if (threads < 1) {
                throw new ParameterException(spec.commandLine(), "--threads: expected 1 or more");
            }
            Experiment experiment = Experiment.read(Doc.read(file), file.toAbsolutePath().getParent());
            PrintWriter err = spec.commandLine().getErr();
            List<RunResult> results = Runner.run(experiment, out, threads, (done, all) -> {
                err.print((System.console() == null ? "" : "\r") + done + " of " + all + " runs"
                    + (System.console() == null ? System.lineSeparator() : ""));
                err.flush();
            });
            Comparison comparison = new Comparison(results);
            PrintWriter to = spec.commandLine().getOut();
            to.println("simulated: " + experiment.name() + ", " + experiment.seeds().size() + " seeds a cell");
            for (String[] row : ExperimentPage.means(comparison)) {
                to.println(String.join("  ", row));
            }
            for (Comparison.Difference d : comparison.differences(RunResult.COMPARED)) {
                if (d.real()) {
                    to.printf(Locale.ROOT, "real: %s, %s by %+.3f (p %.2g)%n", d.cell(), d.figure(), d.mean().mean(),
                        d.p());
                }
            }
            to.flush();
            if (report != null) {
                ExperimentPage.write(report, experiment.name(), comparison);
            }
            return 0;
        }
    }
}
