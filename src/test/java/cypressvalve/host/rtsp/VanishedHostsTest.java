package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.diagnostics.EventLog;
import cypressvalve.host.AttemptGuard;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostLimits;
import cypressvalve.net.Loopback;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Machines vanish while sessions stand at more media hosts than there may be connections to. */
@Timeout(60)
class VanishedHostsTest extends RtspScene {
    private static final int HOSTS = 60;
    private static final int VANISHED_ONE_OF = 3;
    private static final int CONNECTIONS = 29;
    private static final HostLimits SHORT = new HostLimits(250_000_000L, 250_000_000L, 0, 2);
    private static final int BACKLOG = 1;
    /** More than a full queue of the system takes. */
    private static final int FILLERS = 6;
    /** Connections have gone from host to host by then. */
    private static final long SETTLED_MILLIS = 8_000;
    /** The protocol's time for an end that nobody can say, less what telling it takes. */
    private static final long KNOWN_WITHIN_MILLIS = 8_000;

    private final List<Machine> machines = new ArrayList<>();

    VanishedHostsTest() throws IOException { }

    /** A media host that carries a session, says nothing, and ends what the other side has ended. */
    private static final class Machine implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final List<SocketChannel> fillers = new ArrayList<>();
        private volatile boolean vanished;

        private Machine() throws IOException {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            start(this::take);
        }

        private static void start(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        private void take() {
            try {
                while (!vanished) {
                    Socket socket = listener.accept();
                    start(() -> read(socket));
                }
            } catch (IOException e) {
                return; // The test is over.
            }
        }

        private void read(Socket socket) {
            try {
                while (socket.getInputStream().read() >= 0) {
                    continue; // It says nothing.
                }
                if (!vanished) {
                    socket.close();
                }
            } catch (IOException e) {
                return; // The other side has closed it.
            }
        }

        /** Open connections stay open and silent, and new ones never come up. */
        private void vanish() throws IOException {
            vanished = true;
            for (int i = 0; i < FILLERS; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(listener.getLocalSocketAddress());
                fillers.add(filler);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (SocketChannel filler : fillers) {
                filler.close();
            }
        }
    }

    private HostAddress address(int number) {
        return new HostAddress(100 + number, "127.0.0.1", machines.get(number).listener.getLocalPort());
    }

    /** Guards against hosts that are never looked at, as connections of vanished ones hold all places of those that end. */
    @Test
    void allAreKnownToBeLostInTimeAndNoOther() throws Exception {
        used = new RtspHostClient(polls, SHORT, 60_000_000_000L, 8, CONNECTIONS, ByteBuffer.allocate(4096), true, AttemptGuard.NONE, notes(),
            new EventLog(64));
        for (int i = 0; i < HOSTS; i++) {
            machines.add(new Machine());
            HostAddress address = address(i);
            onLoop(() -> used.follow(address, true));
        }
        TimeUnit.MILLISECONDS.sleep(SETTLED_MILLIS); // Connections change places meanwhile.
        Set<String> lost = new HashSet<>();
        for (int i = 0; i < HOSTS; i += VANISHED_ONE_OF) {
            machines.get(i).vanish();
            lost.add("lost " + address(i).id());
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KNOWN_WITHIN_MILLIS);
        while (!lost.isEmpty()) {
            String next = told.poll(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
            assertTrue(next != null && lost.remove(next), next == null ? "not known to be lost: " + lost : next);
        }
        for (Machine machine : machines) {
            machine.close();
        }
    }
}
