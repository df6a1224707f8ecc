package cypressvalve.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * What comes over a network path that may be cut: what was sent during a cut comes once it is over, unless its sender has reset
 * the connection meanwhile, as nothing of it is on its way then.
 */
final class CutInput extends InputStream {
    private static final int POLL_MILLIS = 10;
    private static final int CHUNK_BYTES = 4096;

    private final Socket socket;
    private final BooleanSupplier cut;
    private final byte[] chunk = new byte[CHUNK_BYTES];
    private byte[] ready = new byte[0];
    private int taken;
    private boolean ended;

    /** @param cut whether the path is cut now */
    CutInput(Socket socket, BooleanSupplier cut) {
        this.socket = socket;
        this.cut = cut;
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] to, int from, int length) throws IOException {
        ByteArrayOutputStream held = new ByteArrayOutputStream();
        while (taken == ready.length && !(ended && held.size() == 0)) {
            if (ended) {
                awaitPath();
            } else {
                int n = poll(held.size() > 0);
                ended = n < 0;
                held.write(chunk, 0, Math.max(0, n));
            }
            if (!cut.getAsBoolean() && held.size() > 0) {
                if (ended) {
                    socket.sendUrgentData(0); // Throws where its sender has reset it behind its end; seen by nobody where not.
                }
                ready = held.toByteArray();
                taken = 0;
            }
        }
        if (taken == ready.length) {
            return -1;
        }
        int n = Math.min(length, ready.length - taken);
        System.arraycopy(ready, taken, to, from, n);
        taken += n;
        return n;
    }

    /** What was sent before its sender ended the connection in order comes once the cut is over. */
    private void awaitPath() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** @param holds whether something is held back, so that the end of the cut must be noticed */
    private int poll(boolean holds) throws IOException {
        try {
            socket.setSoTimeout(holds ? POLL_MILLIS : 0);
            return socket.getInputStream().read(chunk);
        } catch (SocketTimeoutException e) {
            return 0;
        }
    }
}
