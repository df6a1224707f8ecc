package cypressvalve.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Connects to gateways and sends what no client sends: noise, wrong lengths, half messages, nothing. It is owed a close. */
final class BadClient implements Runnable {
    private static final int MAX_NOISE_BYTES = 40_000;
    private static final int READ_MILLIS = 500;
    private static final int PAUSE_MILLIS = 100;

    private final List<GatewaySlot> gateways;
    private final RandomGenerator chance;
    private final long until;

    BadClient(List<GatewaySlot> gateways, RandomGenerator chance, long untilNanos) {
        this.gateways = gateways;
        this.chance = chance;
        this.until = untilNanos;
    }

    @Override
    public void run() {
        try {
            while (System.nanoTime() < until) {
                GatewaySlot.Target target = gateways.get(chance.nextInt(gateways.size())).target();
                if (target != null) {
                    disturb(target);
                }
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void disturb(GatewaySlot.Target target) {
        try (Socket socket = new Socket()) {
            socket.connect(target.address(), READ_MILLIS);
            socket.setSoTimeout(READ_MILLIS);
            socket.getOutputStream().write(nonsense());
            InputStream in = socket.getInputStream();
            int heard = in.read();
            while (heard >= 0) {
                heard = in.read();
            }
        } catch (IOException e) {
            return; // Closed on, or silent for long enough.
        }
    }

    private byte[] nonsense() {
        byte[] noise = new byte[chance.nextInt(1, MAX_NOISE_BYTES)];
        chance.nextBytes(noise);
        return switch (chance.nextInt(5)) {
            case 0 -> noise;
            case 1 -> new byte[] {0, 0};
            case 2 -> new byte[] {0, 60, 1, 0, 0, 0, 0, 0, 0, 0, 1};
            case 3 -> new byte[] {0, 9, 99, 0, 0, 0, 0, 0, 0, 0, 2};
            default -> new byte[] {0, 9, 1, 0, 0, 0, 0, 0, 0, 0, 3};
        };
    }
}
