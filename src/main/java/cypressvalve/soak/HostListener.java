package cypressvalve.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Where an emulated media host takes connections, and the fault that they do not come up. */
final class HostListener implements Runnable {
    private static final int BACKLOG = 32;
    /** Connections over the backlog that come up before the next ones wait. */
    private static final int OVER_BACKLOG = 2;

    private static final long CLOSE_MILLIS = 2_000;

    private final ServerSocket listener = new ServerSocket();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Consumer<Socket> onConnection;
    private boolean unreachable;
    /** Connections that nobody takes, so that no further one comes up. */
    private final List<SocketChannel> fillers = new ArrayList<>();
    /** Ports of those that the system had taken: what comes before the last of them came while nobody took connections. */
    private final Set<Integer> fillersToTake = new HashSet<>();

    /**
     * @param port of the loopback address; 0 for one that the system picks
     * @param onConnection takes each connection that came up
     */
    HostListener(int port, Consumer<Socket> onConnection) throws IOException {
        this.onConnection = onConnection;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Whether new connections do not come up: those begun meanwhile do so late, as the system tries again. */
    synchronized void unreachable(boolean on) throws IOException {
        unreachable = on;
        notifyAll();
        for (int i = 0; on && i < BACKLOG + OVER_BACKLOG; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address());
            fillers.add(filler);
        }
        if (!on) {
            for (SocketChannel filler : fillers) {
                if (isConnected(filler)) {
                    fillersToTake.add(((InetSocketAddress) filler.getLocalAddress()).getPort());
                }
                filler.close();
            }
            fillers.clear();
        }
    }

    private static boolean isConnected(SocketChannel channel) {
        try {
            return channel.finishConnect();
        } catch (IOException e) {
            return false; // It was refused, or reset.
        }
    }

    private synchronized void awaitReachable() throws InterruptedException {
        while (unreachable) {
            wait();
        }
    }

    /** When what came on such a connection came is not known: it is reset. */
    private synchronized boolean cameWhileUnreachable(int port) {
        boolean came = unreachable || !fillersToTake.isEmpty();
        fillersToTake.remove(port);
        return came;
    }

    /** Takes connections until the listener is closed; on a thread of its own. */
    @Override
    public void run() {
        try {
            takeConnections();
        } finally {
            ended.countDown();
        }
    }

    private void takeConnections() {
        while (!listener.isClosed()) {
            try {
                awaitReachable();
                Socket socket = listener.accept();
                if (cameWhileUnreachable(socket.getPort())) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else {
                    onConnection.accept(socket);
                }
            } catch (IOException e) {
                return; // Closed.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Returns once nobody takes connections any more: until then the system holds the port, and no other host can have it. */
    void close() throws IOException {
        listener.close();
        unreachable(false);
        try {
            ended.await(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
