package cypressvalve.front.signal;

import cypressvalve.model.Settings;
import cypressvalve.net.Duplex;
import cypressvalve.session.Answer;
import cypressvalve.session.Session;
import cypressvalve.session.SessionCore;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.xnio.StreamConnection;

/**
 * Viewers' binary messages on the core's loop: set-ups into requests, answers and ends into messages. Many sessions
 * share a connection, and one that plays belongs to none. It decides nothing on playbacks.
 */
public final class SignalFront {
    private static final long SECOND = 1_000_000_000L;
    /** A peer that has said nothing whole, or nothing that a viewer says, is closed after this; it is owed that in 3 s. */
    private static final long UNHEARD = 3 * SECOND / 2;
    /** A connection with no session is closed after this: viewers themselves close theirs after 4 s. */
    private static final long IDLE = 6 * SECOND;
    /** An end that could not be told is kept so long: its viewer is owed it for 8 s. */
    private static final long OWED = 10 * SECOND;
    /** Set-ups that one connection may have open: several times what a busy gateway takes in a second. */
    private static final int MOST_OPEN = 256;
    private static final int MOST_QUEUED = 256 * 1024;
    private static final int MOST_OWED = 4096;
    /** Q.850: no circuit, that is no room now; a failure; a usual end. */
    private static final int NO_ROOM = 34;
    private static final int FAILURE = 41;
    private static final int USUAL = 16;

    private final SessionCore core;
    private final Settings settings;
    private final ToLongFunction<String> hosts;
    private final int mostConnections;
    private final ByteBuffer buffer;
    private final Set<Viewers> all = new LinkedHashSet<>();
    private final ArrayDeque<Owed> owed = new ArrayDeque<>();
    private boolean ready;
    private Viewers newest;

    /** An end that waits for a connection. */
    private record Owed(byte[] message, long until) { }

    /**
     * @param hosts a media host's number by its name
     * @param mostConnections held at once
     * @param buffer what is read into, shared by the thread's connections
     */
    public SignalFront(SessionCore core, Settings settings, ToLongFunction<String> hosts, int mostConnections,
        ByteBuffer buffer) {
        this.core = core;
        this.settings = settings;
        this.hosts = hosts;
        this.mostConnections = mostConnections;
        this.buffer = buffer;
    }

    /** From now on tests are passed while the core serves. */
    public void ready() {
        ready = true;
    }

    /** A connection from viewers came. */
    public void accept(StreamConnection connection) {
        if (all.size() >= mostConnections) {
            Viewers least = null;
            for (Viewers v : all) {
                if (!v.heard && (least == null || least.heard) || least == null && v.idle()) {
                    least = v;
                }
            }
            if (least == null) {
                org.xnio.IoUtils.safeClose(connection);
                return;
            }
            least.close();
        }
        Viewers viewers = new Viewers(connection);
        all.add(viewers);
        viewers.duplex.start();
    }

    /** Looks after connections that say nothing; called some times a second. */
    public void sweep() {
        long now = core.clock().now();
        for (Viewers v : List.copyOf(all)) {
            boolean silent = !v.good && now - v.since > UNHEARD;
            boolean half = v.reader.within() && now - v.lastWhole > UNHEARD && now - v.since > UNHEARD;
            if (silent && v.open.isEmpty() || half || v.idle() && now - v.lastWhole > IDLE) {
                v.gone();
                v.close();
            }
        }
        while (!owed.isEmpty() && now > owed.peek().until) {
            owed.poll();
        }
    }

    /** How many connections are held. */
    public int connections() {
        return all.size();
    }

    /** Closes all connections at once. */
    public void close() {
        List.copyOf(all).forEach(Viewers::close);
    }

    /** An end goes out on its set-up's connection, else on another that usual viewers use, else as soon as one comes. */
    private void tellEnd(Viewers first, byte[] message) {
        Viewers to = first != null && first.duplex.isOpen() ? first : newest != null && newest.duplex.isOpen() ? newest
            : null;
        for (Viewers v : to == null ? all : Set.<Viewers>of()) {
            to = v.good && v.duplex.isOpen() ? v : to;
        }
        if (to != null) {
            to.duplex.write(message);
        } else if (owed.size() < MOST_OWED) {
            owed.add(new Owed(message, core.clock().now() + OWED));
        }
    }

    /** One connection and what is open on it. */
    private final class Viewers implements Duplex.Taker {
        private final Duplex duplex;
        private final Signal.Reader reader = new Signal.Reader();
        private final Set<Waiting> open = new HashSet<>();
        private final long since = core.clock().now();
        private long lastWhole = since;
        /** A whole message came. */
        private boolean heard;
        /** Something came that viewers or the test say. */
        private boolean good;
        private int standing;

        private Viewers(StreamConnection connection) {
            duplex = new Duplex(connection, buffer, MOST_QUEUED, this);
        }

        private boolean idle() {
            return open.isEmpty() && standing == 0;
        }

        private void close() {
            all.remove(this);
            duplex.close();
        }

        /** What was open is given up with the connection. */
        private void gone() {
            all.remove(this);
            for (Waiting w : new ArrayList<>(open)) {
                w.hungUp();
            }
        }

        @Override
        public void closed() {
            gone();
        }

        @Override
        public void bytes(ByteBuffer data) {
            try {
                Signal signal = reader.next(data);
                while (signal != null && duplex.isOpen()) {
                    heard = true;
                    lastWhole = core.clock().now();
                    take(signal);
                    signal = reader.next(data);
                }
            } catch (Signal.Unreadable e) {
                gone();
                duplex.finish();
            }
        }

        private void take(Signal signal) throws Signal.Unreadable {
            switch (signal.type()) {
                case Signal.SET_UP -> setUp(signal);
                case Signal.RELEASE -> release(signal);
                case Signal.TEST -> {
                    good = true;
                    duplex.write(Signal.message(Signal.TESTED, signal.session(), ready && core.healthy() ? 1 : 0));
                }
                case Signal.PROGRESS, Signal.ANSWER, Signal.RELEASE_HEARD, Signal.NOTE, Signal.MOVE, Signal.TESTED,
                    Signal.RUNG -> { }
                default -> throw new Signal.Unreadable("type " + signal.type());
            }
        }

        private void setUp(Signal signal) throws Signal.Unreadable {
            Wish wish;
            try {
                wish = Wish.read(signal, settings);
            } catch (Wish.Refused e) {
                duplex.write(Signal.message(Signal.RELEASE, signal.session(), e.cause()));
                return;
            }
            Session there = core.session(signal.id());
            if (wish.at() != null) {
                good = true;
                handOver(wish, signal, there);
            } else if (there != null) {
                // An id is used once: who uses another's, or its own again, is no viewer.
                throw new Signal.Unreadable("an id that is in use");
            } else if (open.size() >= MOST_OPEN) {
                duplex.write(Signal.message(Signal.RELEASE, signal.session(), NO_ROOM));
            } else {
                good = true;
                newest = this;
                flushOwed();
                Waiting waiting = new Waiting(this, signal.session());
                open.add(waiting);
                Session session = core.ask(wish.ask(), waiting);
                waiting.session = session;
                if (session == null) {
                    open.remove(waiting);
                }
            }
        }

        private void flushOwed() {
            while (!owed.isEmpty() && duplex.isOpen()) {
                duplex.write(owed.poll().message());
            }
        }

        private void handOver(Wish wish, Signal signal, Session there) {
            newest = this;
            if (there != null) {
                return;
            }
            Waiting waiting = new Waiting(this, signal.session());
            waiting.answered = true;
            if (core.handOver(wish.ask(), hosts.applyAsLong(wish.at()), waiting) == null) {
                duplex.write(Signal.message(Signal.RELEASE, signal.session(), FAILURE));
            } else {
                standing++;
                waiting.stands = true;
            }
        }

        private void release(Signal signal) {
            Session session = core.session(signal.id());
            if (session != null && session.state() == Session.State.PLAYING) {
                core.end(session);
            } else if (session != null && session.watching() instanceof Waiting w) {
                w.hungUp();
            }
            duplex.write(Signal.message(Signal.RELEASE_HEARD, signal.session(), 0, null));
        }
    }

    /** One request, from its set-up to the end of what it led to. */
    private final class Waiting implements Answer {
        private final Viewers viewers;
        private final long id;
        private Session session;
        private boolean answered;
        private boolean stands;

        private Waiting(Viewers viewers, long id) {
            this.viewers = viewers;
            this.id = id;
        }

        private void answer(byte[] message) {
            if (!answered) {
                answered = true;
                viewers.open.remove(this);
                viewers.duplex.write(message);
            }
        }

        private void hungUp() {
            if (!answered) {
                answered = true;
                viewers.open.remove(this);
                core.hungUp(session, this);
            }
        }

        @Override
        public void playing(Session plays) {
            byte[] description = plays.description() == null ? new byte[0] : plays.description();
            boolean late = answered;
            answer(Signal.message(Signal.ANSWER, id, Signal.DESCRIPTION, description));
            if (!late) {
                stands = true;
                viewers.standing++;
            }
        }

        @Override
        public void rejected(long comeBackIn) {
            answer(Signal.message(Signal.RELEASE, id, NO_ROOM));
        }

        @Override
        public void failed() {
            answer(Signal.message(Signal.RELEASE, id, FAILURE));
        }

        @Override
        public void ended(Session ended) {
            if (stands) {
                stands = false;
                viewers.standing--;
            }
            if (ended.end() == Session.End.LEFT) {
                return; // By its viewer's word, heard here or at the media host: it knows.
            }
            if (ended.end() == Session.End.MOVED) {
                tellEnd(viewers, Signal.message(Signal.MOVE, id, 0, null));
            } else {
                tellEnd(viewers, Signal.message(Signal.RELEASE, id, ended.end() == Session.End.HOST_LOST ? FAILURE : USUAL));
            }
        }
    }
}
