package cypressvalve.cli;

import cypressvalve.judge.Finding;
import cypressvalve.judge.Judge;
import cypressvalve.rehearsal.Rehearsal;
import cypressvalve.tape.Tape;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** A day in real time on loopback. */
@Command(name = "rehearse", mixinStandardHelpOptions = true,
    description = "Plays a day's script on loopback and judges it by what the sockets carried.")
final class RehearseCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "DAY", description = "the day's script (YAML); left out: a built-in day")
    private Path day;

    @Option(names = "--tape", paramLabel = "FILE", description = "keep the tape in this file")
    private Path tape;

    @Option(names = "--access-logs", paramLabel = "DIR", description = "gateways and media hosts write access logs there")
    private Path accessLogs;

    @Option(names = "--verbose", description = "log each answer and each failed try")
    private boolean verbose;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!verbose && System.getProperty("cypressvalve.log.level") == null) {
            System.setProperty("cypressvalve.log.level", "ERROR");
        }
        DayScript script = Scripts.day(day);
        if (accessLogs != null) {
            Files.createDirectories(accessLogs);
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println("rehearsing " + script.name() + ": " + script.gateways().count() + " gateways, "
            + script.hosts().count() + " media hosts, " + script.troubles().size() + " troubles, loopback");
        out.flush();
        try (Tape to = tape == null ? Tape.heard() : Tape.file(tape)) {
            Rehearsal rehearsal = new Rehearsal(script, to, accessLogs);
            Map<Integer, List<Finding>> findings = rehearsal.play(line -> {
                out.print(System.console() == null ? line + System.lineSeparator() : "\r" + line);
                out.flush();
            });
            out.println();
            out.println(rehearsal.summary().text());
            boolean kept = print(out, findings);
            out.flush();
            return kept ? 0 : 1;
        }
    }

    /** Prints each rule's verdict with the records that break it; true if all are kept. */
    static boolean print(PrintWriter out, Map<Integer, List<Finding>> findings) {
        findings.forEach((rule, found) -> {
            out.println("rule " + rule + " (" + Judge.RULES.get(rule - 1) + "): "
                + (found.isEmpty() ? "kept" : "BROKEN " + found.size() + " times"));
            found.forEach(f -> {
                out.println("  " + f.what());
                f.records().forEach(r -> out.println("    " + r.t() + " " + r.by() + "/" + r.kind() + " "
                    + r.fields()));
            });
        });
        return findings.values().stream().allMatch(List::isEmpty);
    }
}
