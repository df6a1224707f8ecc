package cypressvalve;

import cypressvalve.adapter.Adapter;
import cypressvalve.cli.Commands;
import cypressvalve.run.Serve;
import java.io.IOException;

/** The program's entry. The adapter and the platform's gateway are kept apart: they load nothing of the command line and its libraries. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("adapter")) {
            System.exit(Adapter.run(System.in, System.out, System.err));
        }
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(Serve.run(System.getenv()));
        }
        if (args.length == 1 && args[0].equals("serve-archive")) {
            System.exit(Serve.archive(System.getenv()));
        }
        int code = Commands.execute(args);
        if (code >= 0) {
            System.exit(code);
        }
    }
}
