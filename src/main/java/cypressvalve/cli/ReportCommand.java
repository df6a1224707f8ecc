package cypressvalve.cli;

import cypressvalve.load.report.RunFacts;
import cypressvalve.load.report.RunPage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A report from tapes. */
@Command(name = "report", mixinStandardHelpOptions = true,
    description = "Draws a run from its tape, or two runs side by side, as one HTML file.")
final class ReportCommand implements Callable<Integer> {
    @Parameters(arity = "1..2", paramLabel = "TAPE", description = "tapes as rehearse and load replay write them")
    private List<Path> tapes;

    @Option(names = {"-o", "--out"}, required = true, paramLabel = "FILE", description = "the page to write")
    private Path out;

    @Override
    public Integer call() throws IOException {
        List<RunFacts> runs = new ArrayList<>();
        for (Path tape : tapes) {
            runs.add(RunFacts.read(tape));
        }
        RunPage.write(out, runs, List.of());
        return 0;
    }
}
