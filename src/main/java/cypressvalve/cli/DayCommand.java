package cypressvalve.cli;

import cypressvalve.trouble.BenchDay;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Days' scripts. */
@Command(name = "day", mixinStandardHelpOptions = true, description = "Makes days' scripts.",
    subcommands = DayCommand.Convert.class)
final class DayCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed: convert");
    }

    /** A day file of the bench as a script. */
    @Command(name = "convert", mixinStandardHelpOptions = true,
        description = "Turns a day file of the bench into a script, scaled down to one machine.")
    static final class Convert implements Callable<Integer> {
        @Parameters(paramLabel = "BENCHDAY", description = "a day file as the bench draws it (JSON)")
        private Path file;

        @Option(names = "--hosts", defaultValue = "20", paramLabel = "N",
            description = "media hosts at most (default ${DEFAULT-VALUE})")
        private int hosts;

        @Option(names = "--gateways", defaultValue = "4", paramLabel = "N",
            description = "gateways at most (default ${DEFAULT-VALUE})")
        private int gateways;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            BenchDay.Converted converted;
            try {
                converted = BenchDay.convert(file.toString(), Files.readString(file), hosts, gateways);
            } catch (BenchDay.NotADay e) {
                throw new Commands.Refusal(e.getMessage());
            }
            spec.commandLine().getOut().print(converted.script());
            spec.commandLine().getOut().flush();
            converted.leftOut().forEach(l -> spec.commandLine().getErr().println("not carried over: " + l));
            return 0;
        }
    }
}
