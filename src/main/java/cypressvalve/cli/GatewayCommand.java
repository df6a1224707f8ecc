package cypressvalve.cli;

import cypressvalve.config.Doc;
import cypressvalve.config.GatewaySettings;
import cypressvalve.run.GatewayNode;
import cypressvalve.session.Clock;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** One gateway as a process. */
@Command(name = "gateway", mixinStandardHelpOptions = true,
    description = "Runs one gateway until it is told to end (SIGTERM), then drains.")
final class GatewayCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the gateway's settings (YAML)")
    private Path config;

    @Override
    public Integer call() throws Exception {
        Doc doc = Doc.read(config);
        GatewaySettings settings = GatewaySettings.read(doc);
        doc.verify();
        CountDownLatch over = new CountDownLatch(1);
        AtomicReference<Throwable> failure = new AtomicReference<>();
        GatewayNode node = new GatewayNode(settings, Clock.anchored(), cause -> {
            failure.set(cause);
            over.countDown();
        });
        node.start();
        System.out.println("gateway " + settings.number() + " listens on " + settings.listenHost() + ":" + node.port());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                if (failure.get() == null) {
                    node.drain();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (failure.get() == null) {
                Runtime.getRuntime().halt(0); // Told to end, and ended as told: the JVM alone would say 143.
            }
        }, "drain"));
        over.await();
        System.err.println("the decisions failed; the gateway has closed: " + failure.get());
        node.kill();
        return 1;
    }
}
