package cypressvalve.cli;

import cypressvalve.config.Doc;
import cypressvalve.judge.Finding;
import cypressvalve.lab.Lab;
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
    subcommands = LabCommand.Run.class)
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed: run");
    }

    /** One day. */
    @Command(name = "run", mixinStandardHelpOptions = true,
        description = "Plays a day's script in simulated time and judges it; all its figures are simulated.")
    static final class Run implements Callable<Integer> {
        @Parameters(arity = "0..1", paramLabel = "DAY", description = "the day's script (YAML); left out: a built-in day")
        private Path day;

        @Option(names = "--seed", paramLabel = "N", description = "another seed than the script's")
        private Long seed;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            if (System.getProperty("cypressvalve.log.level") == null) {
                System.setProperty("cypressvalve.log.level", "ERROR");
            }
            Doc doc = day == null ? Doc.parse("default.yaml", RehearseCommand.builtIn()) : Doc.read(day);
            DayScript script = DayScript.read(doc);
            doc.verify();
            if (seed != null) {
                script = new DayScript(script.name(), seed, script.length(), script.service(), script.hosts(),
                    script.titles(), script.viewers(), script.gateways(), script.troubles());
            }
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            long began = System.nanoTime();
            Lab lab = new Lab(script);
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
}
