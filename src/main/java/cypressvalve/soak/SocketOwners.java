package cypressvalve.soak;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Which gateway is at the other end of a connection: by the requests that came on it, else by the system's table of sockets, which is
 * read on a thread of its own for many connections at once, as it takes longer than what comes may wait.
 */
final class SocketOwners implements GatewayNames, Runnable {
    private static final Path TCP_TABLE = Path.of("/proc/net/tcp");
    private static final int LOCAL_ADDRESS = 1;
    private static final int REMOTE_ADDRESS = 2;
    private static final int INODE = 9;
    private static final int HEXADECIMAL = 16;
    /** Connections that come within this time are looked for together. */
    private static final long TOGETHER_MILLIS = 20;
    private static final int MAX_TRIES = 3;

    private final List<GatewaySlot> gateways;
    private final EventRecord record;
    private final BlockingQueue<Wanted> wanted = new LinkedBlockingQueue<>();

    private record Wanted(Socket accepted, Consumer<String> found, int tries) { }

    /** The two ports of a connection, the gateway's first; several of its connections may share one of them. */
    private record Ports(int local, int remote) { }

    SocketOwners(List<GatewaySlot> gateways, EventRecord record) {
        this.gateways = gateways;
        this.record = record;
    }

    @Override
    public String ofRequest(String request) {
        String process = record.processOf(request);
        return process == null ? null : process.substring(0, process.lastIndexOf('.'));
    }

    @Override
    public void find(Socket accepted, Consumer<String> found) {
        wanted.add(new Wanted(accepted, found, 0));
    }

    /** Looks for what is wanted, until it is interrupted. */
    @Override
    public void run() {
        try {
            while (true) {
                List<Wanted> together = new ArrayList<>(List.of(wanted.take()));
                TimeUnit.MILLISECONDS.sleep(TOGETHER_MILLIS);
                wanted.drainTo(together);
                findAll(together);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void findAll(List<Wanted> together) {
        Map<Ports, String> inodes = inodes();
        Map<String, String> owners = owners();
        for (Wanted one : together) {
            String inode = inodes.get(new Ports(one.accepted.getPort(), one.accepted.getLocalPort()));
            String owner = inode == null ? null : owners.get("socket:[" + inode + "]");
            if (owner != null) {
                one.found.accept(owner);
            } else if (!one.accepted.isClosed() && one.tries < MAX_TRIES) {
                wanted.add(new Wanted(one.accepted, one.found, one.tries + 1));
            }
        }
    }

    private static Map<Ports, String> inodes() {
        Map<Ports, String> inodes = new HashMap<>();
        try {
            for (String line : Files.readAllLines(TCP_TABLE, StandardCharsets.US_ASCII)) {
                String[] fields = line.strip().split("\\s+");
                if (fields.length > INODE && fields[LOCAL_ADDRESS].indexOf(':') > 0 && !fields[INODE].equals("0")) {
                    inodes.put(new Ports(port(fields[LOCAL_ADDRESS]), port(fields[REMOTE_ADDRESS])), fields[INODE]);
                }
            }
        } catch (IOException e) {
            return Map.of();
        }
        return inodes;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1), HEXADECIMAL);
    }

    /** The gateway of each socket that one of them holds. */
    private Map<String, String> owners() {
        Map<String, String> owners = new HashMap<>();
        for (GatewaySlot gateway : gateways) {
            Path held = Path.of("/proc", String.valueOf(gateway.process().processId()), "fd");
            try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(held)) {
                for (Path descriptor : descriptors) {
                    owners.put(target(descriptor), gateway.name());
                }
            } catch (IOException e) {
                continue; // The process has ended.
            }
        }
        return owners;
    }

    private static String target(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString();
        } catch (IOException e) {
            return ""; // It was closed meanwhile.
        }
    }
}
