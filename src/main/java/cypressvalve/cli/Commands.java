package cypressvalve.cli;

import cypressvalve.config.BadSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line: 0 fine, 1 bad input or a broken rule, 2 usage. */
@Command(name = "cypressvalve", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
    description = "A session front: places video sessions on media hosts and shapes them.",
    subcommands = {GatewayCommand.class, MediaHostCommand.class, ListServiceCommand.class, RehearseCommand.class,
        JudgeCommand.class, DayCommand.class, ConfigCommand.class, KeysCommand.class, LoadCommand.class, LabCommand.class,
        PlanCommand.class, SoakCommand.class, Commands.AdapterHelp.class})
public final class Commands implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Runs a command line and returns the exit code. */
    public static int execute(String... args) {
        if (System.getProperty("cypressvalve.log.form") == null && System.console() != null) {
            System.setProperty("cypressvalve.log.form", "plain");
        }
        CommandLine line = new CommandLine(new Commands());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof BadSettings || e instanceof java.io.IOException || e instanceof Refusal) {
                String text = e instanceof java.nio.file.NoSuchFileException ? e.getMessage() + ": no such file"
                    : String.valueOf(e.getMessage());
                command.getErr().println(text);
                return 1;
            }
            throw e;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Input that was refused, with the one line that says why. */
    static final class Refusal extends RuntimeException {
        private static final long serialVersionUID = 1;

        Refusal(String why) {
            super(why);
        }
    }

    /** The jar's version. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"cypressvalve " + (version == null ? "(not from a jar)" : version)};
        }
    }

    /** Only for the help: Main runs the adapter before this class is loaded. */
    @Command(name = "adapter", description = "Serves the bench's wire on standard input and output.")
    static final class AdapterHelp implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new ParameterException(spec.commandLine(), "adapter takes no arguments");
        }
    }
}
