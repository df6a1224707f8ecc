package cypressvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A connection whose peer reads nothing until it is told to, so that what is written waits. */
@Timeout(20)
class DuplexTest {
    private static final int MOST = 1 << 26;
    private final ServerSocket server = Loopback.server();
    private final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final LinkedBlockingQueue<Boolean> answers = new LinkedBlockingQueue<>();

    DuplexTest() throws java.io.IOException { }

    @AfterEach
    void stop() throws Exception {
        worker.shutdownNow();
        server.close();
    }

    /** Connects, and hands the connection over on its loop. */
    private Socket with(Duplex.Taker taker, Consumer<Duplex> use) throws Exception {
        return with(ByteBuffer.allocate(4096), taker, use);
    }

    private Socket with(ByteBuffer buffer, Duplex.Taker taker, Consumer<Duplex> use) throws Exception {
        worker.getIoThread().openStreamConnection(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
            c -> use.accept(new Duplex(c, buffer, MOST, taker)), OptionMap.EMPTY);
        return server.accept();
    }

    private static final Duplex.Taker NOBODY = new Duplex.Taker() {
        @Override
        public void bytes(ByteBuffer data) { }

        @Override
        public void closed() { }
    };

    private static int fill(Duplex duplex) {
        int written = 0;
        for (byte[] block = new byte[65_536]; duplex.flushed(); written += block.length) {
            duplex.write(block.clone());
        }
        return written;
    }

    @Test
    void whatHasNotLeftIsTakenBackWhole() throws Exception {
        LinkedBlockingQueue<Integer> before = new LinkedBlockingQueue<>();
        try (Socket peer = with(NOBODY, duplex -> {
            before.add(fill(duplex));
            byte[] taken = {1, 1, 1};
            byte[] left = {2, 2, 2};
            duplex.write(taken);
            duplex.write(left);
            answers.add(duplex.takeBack(taken));
            answers.add(duplex.takeBack(taken));
        })) {
            assertTrue(answers.take());
            assertFalse(answers.take(), "it is not there any more");
            DataInputStream in = new DataInputStream(peer.getInputStream());
            in.skipNBytes(before.take());
            assertEquals(2, in.read(), "what follows goes out in its place");
        }
    }

    @Test
    void whatHasLeftIsNotTakenBack() throws Exception {
        try (Socket peer = with(NOBODY, duplex -> {
            byte[] message = {1};
            duplex.write(message);
            answers.add(duplex.takeBack(message));
        })) {
            assertFalse(answers.take());
            assertEquals(1, peer.getInputStream().read());
        }
    }

    /** Whoever owes what was written can see, when it is told of the close, what the peer can't have read. */
    @Test
    void whenItIsToldOfACloseWhatWaitedCanBeSeen() throws Exception {
        byte[] message = {1};
        Duplex[] made = new Duplex[1];
        try (Socket peer = with(new Duplex.Taker() {
            @Override
            public void bytes(ByteBuffer data) { }

            @Override
            public void closed() {
                answers.add(made[0].waits(message));
            }
        }, duplex -> {
            made[0] = duplex;
            duplex.start();
            fill(duplex);
            duplex.write(message);
            answers.add(duplex.waits(message));
        })) {
            assertTrue(answers.take());
            peer.setSoLinger(true, 0);
        }
        assertTrue(answers.take());
    }

    /** What the peer said before it reset the connection counts, though a write finds the reset first. */
    @Test
    void whatHasComeIsTakenWhereAWriteFindsTheConnectionBroken() throws Exception {
        LinkedBlockingQueue<String> taken = new LinkedBlockingQueue<>();
        CountDownLatch reset = new CountDownLatch(1);
        Duplex[] made = new Duplex[1];
        try (Socket peer = with(new Duplex.Taker() {
            @Override
            public void bytes(ByteBuffer data) {
                taken.add("bytes " + data.remaining());
            }

            @Override
            public void closed() {
                taken.add("closed");
            }
        }, duplex -> {
            made[0] = duplex;
            answers.add(true);
        })) {
            assertTrue(answers.take(), "connected on this side, too");
            worker.getIoThread().execute(() -> {
                try {
                    reset.await();
                    for (int i = 0; i < 10_000 && taken.isEmpty(); i++) {
                        made[0].write(new byte[] {1});
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            peer.getOutputStream().write(new byte[5]);
            peer.setSoLinger(true, 0);
            peer.close();
            reset.countDown();
        }
        assertEquals("bytes 5", taken.take());
        assertEquals("closed", taken.take());
    }

    /** A close with bytes unread would reset the connection under what was written last. */
    @Test
    void aPeerThatSpeaksOnReadsAllThatWasWrittenBeforeTheEnd() throws Exception {
        int written = 2_000_000;
        CountDownLatch spoke = new CountDownLatch(1);
        try (Socket peer = with(NOBODY, duplex -> {
            duplex.start();
            duplex.write(new byte[written]);
            try {
                spoke.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            duplex.linger();
        })) {
            peer.getOutputStream().write(new byte[100]);
            spoke.countDown();
            DataInputStream in = new DataInputStream(peer.getInputStream());
            in.skipNBytes(written / 2);
            peer.getOutputStream().write(new byte[100]);
            in.skipNBytes(written - written / 2);
            assertEquals(-1, in.read());
        }
    }

    /** Guards against bytes that change while they are taken, as their taker leads to another connection being read. */
    @Test
    void whatIsBeingTakenStaysThoughAnotherConnectionIsReadMeanwhile() throws Exception {
        ByteBuffer shared = ByteBuffer.allocate(4096);
        LinkedBlockingQueue<String> taken = new LinkedBlockingQueue<>();
        Duplex[] made = new Duplex[2];
        CountDownLatch bothSpoke = new CountDownLatch(1);
        try (Socket inner = with(shared, data -> taken.add("inner " + text(data)), duplex -> {
            made[0] = duplex;
            answers.add(true);
        })) {
            answers.take();
            try (Socket outer = with(shared, data -> {
                String first = String.valueOf((char) data.get());
                made[0].readNow();
                made[1].readNow();
                taken.add("outer " + first + text(data));
            }, duplex -> {
                made[1] = duplex;
                answers.add(true);
            })) {
                answers.take();
                inner.getOutputStream().write("stale".getBytes(StandardCharsets.US_ASCII));
                outer.getOutputStream().write("whole".getBytes(StandardCharsets.US_ASCII));
                worker.getIoThread().execute(() -> readUntilTaken(made[1], taken));
                assertEquals("inner stale", taken.take());
                assertEquals("outer whole", taken.take());
            }
        }
    }

    /** Both sockets are loopback's: what the peers wrote before has come, at the latest after some looks. */
    private static void readUntilTaken(Duplex duplex, LinkedBlockingQueue<String> taken) {
        while (taken.isEmpty()) {
            duplex.readNow();
        }
    }

    @Test
    void whatCameBeforeACloseIsTakenAfterTheCallThatClosed() throws Exception {
        LinkedBlockingQueue<String> taken = new LinkedBlockingQueue<>();
        Duplex[] made = new Duplex[1];
        CountDownLatch spoke = new CountDownLatch(1);
        try (Socket peer = with(ByteBuffer.allocate(4), data -> taken.add(text(data)), duplex -> {
            made[0] = duplex;
            answers.add(true);
        })) {
            answers.take();
            peer.getOutputStream().write("last words".getBytes(StandardCharsets.US_ASCII));
            peer.shutdownOutput();
            worker.getIoThread().execute(() -> {
                made[0].closeAndTakeRest(() -> taken.add("closed"));
                taken.add("returned");
            });
            assertEquals(-1, peer.getInputStream().read());
            StringBuilder all = new StringBuilder();
            assertEquals("returned", taken.take());
            for (String part = taken.take(); !part.equals("closed"); part = taken.take()) {
                all.append(part);
            }
            assertEquals("last words", all.toString());
        }
    }

    /** Connections on one buffer, each of whose takers reads some of the others, in whatever order: each gets what its peer wrote. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void howeverReadsAreNestedEachConnectionBringsWhatItsPeerWrote(long seed) throws Exception {
        Random chance = new Random(seed);
        ByteBuffer shared = ByteBuffer.allocate(64);
        int count = 4;
        Duplex[] made = new Duplex[count];
        StringBuilder[] got = new StringBuilder[count];
        List<Socket> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int number = i;
            got[i] = new StringBuilder();
            peers.add(with(shared, data -> {
                byte first = data.get();
                got[number].append((char) first);
                made[chance.nextInt(count)].readNow();
                got[number].append(text(data));
                made[chance.nextInt(count)].readNow();
            }, duplex -> {
                made[number] = duplex;
                answers.add(true);
            }));
            answers.take();
        }
        StringBuilder[] written = new StringBuilder[count];
        for (int i = 0; i < count; i++) {
            written[i] = new StringBuilder();
            for (int n = 0; n < 200; n++) {
                written[i].append((char) ('a' + i)).append(n);
            }
            peers.get(i).getOutputStream().write(written[i].toString().getBytes(StandardCharsets.US_ASCII));
        }
        worker.getIoThread().execute(() -> {
            for (int left = 1; left > 0; ) {
                left = 0;
                for (int i = 0; i < count; i++) {
                    made[i].readNow();
                    left += written[i].length() - got[i].length();
                }
            }
            answers.add(true);
        });
        assertTrue(answers.take());
        for (int i = 0; i < count; i++) {
            assertEquals(written[i].toString(), got[i].toString());
            peers.get(i).close();
        }
    }

    private static String text(ByteBuffer data) {
        byte[] bytes = new byte[data.remaining()];
        data.get(bytes);
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private Socket with(ByteBuffer buffer, Consumer<ByteBuffer> taker, Consumer<Duplex> use) throws Exception {
        return with(buffer, new Duplex.Taker() {
            @Override
            public void bytes(ByteBuffer data) {
                taker.accept(data);
            }

            @Override
            public void closed() { }
        }, use);
    }
}
