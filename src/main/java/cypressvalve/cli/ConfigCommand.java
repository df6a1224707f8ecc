package cypressvalve.cli;

import cypressvalve.config.BadSettings;
import cypressvalve.config.Doc;
import cypressvalve.config.GatewaySettings;
import cypressvalve.config.HostFile;
import cypressvalve.lab.Experiment;
import cypressvalve.load.map.Mapping;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Checks of settings. */
@Command(name = "config", mixinStandardHelpOptions = true, description = "Looks at settings.",
    subcommands = ConfigCommand.Check.class)
final class ConfigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed: check");
    }

    /** Checks files whole without starting anything. */
    @Command(name = "check", mixinStandardHelpOptions = true,
        description = "Checks settings files and day scripts whole; every fault with file, line and field.")
    static final class Check implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "FILE", description = "files of any kind that this program reads")
        private List<Path> files;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            int faults = 0;
            for (Path file : files) {
                try {
                    Doc doc = Doc.read(file);
                    String kind = read(doc, file);
                    doc.verify();
                    spec.commandLine().getOut().println(file + ": fine (" + kind + ")");
                } catch (BadSettings e) {
                    faults += e.faults().size();
                    e.faults().forEach(spec.commandLine().getErr()::println);
                }
            }
            spec.commandLine().getOut().flush();
            return faults == 0 ? 0 : 1;
        }

        private static String read(Doc doc, Path file) throws IOException {
            if (doc.root().has("day")) {
                DayScript.read(doc);
                return "a day's script";
            }
            if (doc.root().has("media-host")) {
                HostFile.read(doc);
                return "a media host's settings";
            }
            if (doc.root().has("experiment")) {
                Experiment.read(doc, file.toAbsolutePath().getParent());
                return "an experiment";
            }
            if (doc.root().has("requests")) {
                Mapping.read(doc);
                return "a mapping of load";
            }
            GatewaySettings.read(doc);
            return "a gateway's settings";
        }
    }
}
