package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.diagnostics.EventLog;
import cypressvalve.host.AttemptGuard;
import cypressvalve.host.HostClient;
import cypressvalve.host.HostLimits;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A media host whose process stands still while its system takes connections, and what it says once it goes on. */
@Timeout(30)
class SilentHostTest extends RtspScene {
    private static final String SESSION = "00000000000000aa";
    private static final String END = "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: " + SESSION + "\r\nReason: cause=16";
    private static final long CONNECT_TIMEOUT = 200_000_000L;
    private static final HostLimits SHORT = new HostLimits(CONNECT_TIMEOUT, CONNECT_TIMEOUT, 0, 1);
    /** The protocol's time from a release by the host to the one towards its client, for the client's side too. */
    private static final int RELEASED_WITHIN_MILLIS = 1_000;

    SilentHostTest() throws IOException { }

    /** A session plays; its host then says nothing more, and a cancelled set-up waits on its connection until that is reset here. */
    private void standsStillWithASession() throws Exception {
        used = new RtspHostClient(polls, SHORT, 60_000_000_000L, 8, 16, ByteBuffer.allocate(4096), true,
            AttemptGuard.NONE, notes(), new EventLog(64));
        onLoop(() -> setUp(SESSION));
        Socket first = server.accept();
        BufferedReader in = reader(first);
        answerTest(first, in);
        assertTrue(message(in).startsWith("SETUP"));
        say(first, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + SESSION, "mine");
        assertEquals("started " + SESSION + " mine", told.take());
        onLoop(() -> used.follow(host, true));
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp("00000000000000bb"));
        assertTrue(message(in).startsWith("SETUP"));
        onLoop(call[0]::withdraw);
        assertEquals("back 00000000000000bb WITHDRAWN", told.take());
        assertThrows(SocketException.class, () -> {
            while (true) {
                message(in);
            }
        });
    }

    /** Guards against ends that a host says, once it goes on, on connections that were closed here while it stood still. */
    @Test
    void anEndThatAHostSaysOnTheFirstConnectionsThatItTakesAfterStandingStillIsRead() throws Exception {
        standsStillWithASession();
        for (int i = 0; i < 8; i++) {
            String id = String.format("%016x", 0xcc + i);
            onLoop(() -> setUp(id, 2 * CONNECT_TIMEOUT));
            assertEquals("given up " + id + " TIMEOUT", told.take());
            assertEquals("back " + id + " NOT_SENT", told.take());
            TimeUnit.MILLISECONDS.sleep(200); // The host's own time: it stands still for over 4 s.
        }
        try (Socket second = server.accept()) {
            say(second, END, "");
            assertEquals("ended " + SESSION + " OK", told.poll(RELEASED_WITHIN_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    /** Guards against an end that a host says on a connection of the gateway's process before, through whose restart it stood still. */
    @Test
    void aHostWhoseFirstWordComesLateIsGivenOneMoreConnection() throws Exception {
        used = client;
        onLoop(() -> used.follow(host, true));
        try (Socket first = server.accept()) {
            TimeUnit.MILLISECONDS.sleep(300); // The host's own time: it stands still, and takes the connection.
            say(first, "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + SESSION, "");
            server.setSoTimeout(RELEASED_WITHIN_MILLIS);
            try (Socket second = server.accept()) {
                say(second, END, "");
                assertEquals("ended " + SESSION + " OK", told.poll(RELEASED_WITHIN_MILLIS, TimeUnit.MILLISECONDS));
            }
        }
    }

    /** Guards against an end that is said on a connection which was reset here, and again only on the next that is opened: none was. */
    @Test
    void aHostThatTookConnectionsWhileItStoodStillIsGivenANewOneOnceItGoesOn() throws Exception {
        standsStillWithASession();
        try (Socket second = server.accept()) {
            BufferedReader in = reader(second);
            assertTrue(message(in).startsWith(RELEASE), "the cancel goes out again");
            onLoop(() -> setUp("00000000000000cc"));
            answerTest(second, in);
            server.setSoTimeout(RELEASED_WITHIN_MILLIS);
            try (Socket third = server.accept()) {
                say(third, END, "");
                assertEquals("ended " + SESSION + " OK", told.poll(RELEASED_WITHIN_MILLIS, TimeUnit.MILLISECONDS));
            }
        }
    }
}
