package cypressvalve.cli;

import cypressvalve.judge.Judge;
import cypressvalve.tape.TapeReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The six rules from a tape alone. */
@Command(name = "judge", mixinStandardHelpOptions = true,
    description = "Reads a tape and says which of the six rules it shows broken; exit 1 if one is.")
final class JudgeCommand implements Callable<Integer> {
    @Parameters(paramLabel = "TAPE", description = "a tape as rehearse writes it")
    private Path tape;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        Judge judge = new Judge();
        TapeReader.read(tape, judge::accept);
        if (!judge.judged()) {
            throw new Commands.Refusal(tape + ": expected a record of terms; this is no whole tape");
        }
        var out = spec.commandLine().getOut();
        out.println(judge.records() + " records");
        boolean kept = RehearseCommand.print(out, judge.finish());
        out.flush();
        return kept ? 0 : 1;
    }
}
