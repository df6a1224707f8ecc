package cypressvalve.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Peers of the tests' own on loopback that never wait for ever: a test that fails must end. */
public final class Loopback {
    private static final int MOST_MS = 10_000;

    private Loopback() {
    }

    /** A listener on a port of the system's; it and what it accepts give up waiting after ten seconds. */
    public static ServerSocket server() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress()) {
            @Override
            public Socket accept() throws IOException {
                Socket socket = super.accept();
                socket.setSoTimeout(MOST_MS);
                socket.setTcpNoDelay(true);
                return socket;
            }
        };
        server.setSoTimeout(MOST_MS);
        return server;
    }
}
