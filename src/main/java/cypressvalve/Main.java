package cypressvalve;

import cypressvalve.adapter.Adapter;
import java.io.IOException;

/** The program's entry: one subcommand so far. */
public final class Main {
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar cypressvalve.jar adapter");
            System.exit(2);
        }
        System.exit(Adapter.run(System.in, System.out, System.err));
    }
}
