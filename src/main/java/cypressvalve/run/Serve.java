package cypressvalve.run;

import cypressvalve.config.BadSettings;
import cypressvalve.config.PlatformSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import sun.misc.Signal;

/** The platform's gateway as a process: its environment, its log on standard error, SIGHUP and SIGTERM. */
public final class Serve {
    private Serve() {
    }

    /**
     * Serves until told to end.
     *
     * @return the exit code
     */
    public static int run(Map<String, String> environment) {
        quiet();
        try {
            String config = environment.get("NODE_CONFIG");
            if (config == null) {
                throw new BadSettings(java.util.List.of("NODE_CONFIG: expected the path of the configuration"));
            }
            return run(Path.of(config), environment.get("NODE_LISTEN"));
        } catch (BadSettings e) {
            log(e.getMessage());
        } catch (IOException e) {
            log("can't listen: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 1;
    }

    private static void quiet() {
        // The core logs each session; here nothing is written that comes with every request.
        System.setProperty("slf4j.provider", "org.slf4j.helpers.NOP_FallbackServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }

    /** Starts a gateway on a port of the system's and ends at once: what `build` archives the loaded classes of. */
    public static int archive(Map<String, String> environment) throws IOException {
        quiet();
        PlatformNode node = new PlatformNode(PlatformSettings.read(Path.of(environment.get("NODE_CONFIG")), null), () -> null,
            Serve::log, cause -> { });
        node.start();
        return 0;
    }

    private static int run(Path config, String listen) throws IOException, InterruptedException {
        CountDownLatch over = new CountDownLatch(1);
        AtomicInteger code = new AtomicInteger();
        PlatformSettings settings = PlatformSettings.read(config, listen);
        PlatformNode node = new PlatformNode(settings, () -> coordinator(config, listen), Serve::log, cause -> {
            log("the decisions failed: " + cause);
            cause.printStackTrace();
            code.set(1);
            over.countDown();
        });
        Signal.handle(new Signal("HUP"), signal -> reload(node, config, listen));
        Signal.handle(new Signal("TERM"), signal -> {
            log("told to end");
            node.drain(over::countDown);
        });
        node.start();
        log("gateway " + settings.name() + " listens on " + settings.listen().getHostString() + ":" + node.port());
        over.await();
        return code.get();
    }

    /** One after the other: of two signals in quick succession the earlier must not apply what it read after the later. */
    private static synchronized void reload(PlatformNode node, Path config, String listen) {
        try {
            node.reload(PlatformSettings.read(config, listen));
            log("configuration read anew");
        } catch (BadSettings e) {
            log("the new configuration is refused, the old one stands: " + e.getMessage());
        }
    }

    private static InetSocketAddress coordinator(Path config, String listen) {
        try {
            return PlatformSettings.read(config, listen).coordinator();
        } catch (BadSettings e) {
            return null;
        }
    }

    /** One write a line: a process may have little of a core. */
    private static void log(String line) {
        byte[] whole = (java.time.Instant.now() + " " + line + "\n").getBytes(StandardCharsets.UTF_8);
        System.err.write(whole, 0, whole.length);
        System.err.flush();
    }
}
