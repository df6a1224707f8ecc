package cypressvalve.cli;

import cypressvalve.accesslog.AccessLog;
import cypressvalve.config.Doc;
import cypressvalve.config.HostFile;
import cypressvalve.rehearsal.Stage;
import cypressvalve.standin.MediaHostServer;
import cypressvalve.standin.Uplink;
import cypressvalve.tape.Tape;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** One stand-in media host as a process. */
@Command(name = "media-host", mixinStandardHelpOptions = true,
    description = "Runs one stand-in media host until it is ended.")
final class MediaHostCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the host's settings (YAML)")
    private Path config;

    @Option(names = "--tape", paramLabel = "FILE", description = "keep what its sockets carry in this file")
    private Path tape;

    @Override
    public Integer call() throws Exception {
        Doc doc = Doc.read(config);
        HostFile file = HostFile.read(doc);
        doc.verify();
        Tape to = tape == null ? Tape.heard() : Tape.file(tape);
        MediaHostServer host = new MediaHostServer(Stage.spec(file),
            new Uplink(file.uplink() > 0 ? file.uplink() : Double.MAX_VALUE), to,
            file.accessLog() == null ? null : new AccessLog(file.accessLog()));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            host.close();
            try {
                to.close();
            } catch (java.io.IOException e) {
                System.err.println("the tape's end is lost: " + e);
            }
        }));
        host.startAt(file.port(), file.warm());
        System.out.println("media host " + file.id() + " listens on 127.0.0.1:" + host.port());
        new CountDownLatch(1).await();
        return 0;
    }
}
