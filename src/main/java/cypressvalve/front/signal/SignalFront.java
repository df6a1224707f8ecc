package cypressvalve.front.signal;

import cypressvalve.diagnostics.EventKind;
import cypressvalve.diagnostics.EventLog;
import cypressvalve.model.Settings;
import cypressvalve.net.Duplex;
import cypressvalve.session.Answer;
import cypressvalve.session.Ask;
import cypressvalve.session.Session;
import cypressvalve.session.SessionCore;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
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
    /** A message that is not whole so long after its first byte has a sender that will not complete it. */
    private static final long PARTIAL = 5 * SECOND / 2;
    /** A connection with no session is closed after this: viewers themselves close theirs after 4 s. */
    private static final long IDLE = 6 * SECOND;
    /** An end that could not be told is kept so long: its viewer is owed it for 8 s. */
    private static final long OWED = 10 * SECOND;
    /** An end written so long before its connection broke was read: whoever reads at all has done so by then. */
    private static final long UNREAD = 2 * SECOND;
    /** Other connections on which an end goes out whose own has gone: one of them may be no usual viewer's. */
    private static final int OTHERS = 3;
    /** Set-ups that one connection may have open: several times what a busy gateway takes in a second. */
    private static final int MOST_OPEN = 256;
    /** Ids of set-ups are remembered so long, and so many: none is used twice, and who does is no viewer. */
    private static final long USED = 30 * SECOND;
    private static final int MOST_USED = 4096;
    private static final int MOST_QUEUED = 256 * 1024;
    /** Ends remembered: more than a busy gateway tells in the time that they are kept. */
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
    private final Executor turn;
    private final EventLog events;
    /** Connections accepted so far; numbers them in the event log. */
    private long accepted;
    /**
     * Set-ups read in this turn of the loop, by session: they go on with the next, once all that came was read. Their
     * viewers may have left meanwhile, and connections are read in any order.
     */
    private final Map<Long, Waiting> fresh = new LinkedHashMap<>();
    private final Map<Long, Long> used = new LinkedHashMap<>();
    private final Set<Viewers> all = new LinkedHashSet<>();
    /** By session, the oldest first: ends of the last seconds, told or not. */
    private final Map<Long, Owed> owed = new LinkedHashMap<>();
    private boolean ready;

    /** The end of what stood, from when its viewer is owed it until it was surely read or is owed no more. */
    private static final class Owed {
        private final byte[] message;
        private final long since;
        /** Where it was written last, and when; null where it waits for a connection. */
        private Viewers on;
        private long toldAt;
        /** How many other connections it goes out on yet. */
        private int others;

        private Owed(byte[] message, long since) {
            this.message = message;
            this.since = since;
        }

        private void tell(Viewers viewers, long now) {
            on = viewers;
            toldAt = now;
            viewers.duplex.write(message);
        }
    }

    /**
     * @param hosts a media host's number by its name
     * @param mostConnections held at once
     * @param buffer what is read into, shared by the thread's connections
     * @param turn runs what it is given in the loop's next turn
     * @param events takes what happens to connections and requests
     */
    public SignalFront(SessionCore core, Settings settings, ToLongFunction<String> hosts, int mostConnections,
        ByteBuffer buffer, Executor turn, EventLog events) {
        this.core = core;
        this.settings = settings;
        this.hosts = hosts;
        this.mostConnections = mostConnections;
        this.buffer = buffer;
        this.turn = turn;
        this.events = events;
    }

    /** Whether tests are passed, while the core serves. */
    public void ready(boolean on) {
        ready = on;
    }

    /** A connection from viewers came. */
    public void accept(StreamConnection connection) {
        if (all.size() >= mostConnections && !evict()) {
            org.xnio.IoUtils.safeClose(connection);
            events.record(EventKind.CLIENT_CLOSED, "no room for one more");
            return;
        }
        Viewers viewers = new Viewers(connection);
        all.add(viewers);
        viewers.duplex.start();
    }

    /** Closes the oldest that never said a whole message, else an idle one, but none that has just said something. */
    private boolean evict() {
        for (Viewers v : List.copyOf(all)) {
            if (!v.heard && v.stillSo(o -> !o.heard)) {
                v.end("room: said nothing whole");
                return true;
            }
        }
        for (Viewers v : List.copyOf(all)) {
            if (v.idle() && v.stillSo(Viewers::idle)) {
                v.end("room: idle");
                return true;
            }
        }
        return all.size() < mostConnections;
    }

    /** Looks after connections that say nothing; called some times a second. */
    public void sweep() {
        long now = core.clock().now();
        for (Viewers v : List.copyOf(all)) {
            if (v.unheard(now) && v.stillSo(o -> o.unheard(now))) {
                v.end("silent");
            }
        }
        owed.values().removeIf(o -> now - o.since > OWED);
        used.values().removeIf(at -> now - at > USED);
    }

    private void askFresh() {
        List<Waiting> asked = List.copyOf(fresh.values());
        fresh.clear();
        asked.forEach(Waiting::ask);
    }

    private void use(long id) {
        used.put(id, core.clock().now());
        if (used.size() > MOST_USED) {
            Iterator<Long> oldest = used.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Whether all answers and ends have left for the sockets. */
    public boolean flushed() {
        return all.stream().allMatch(v -> v.duplex.flushed()) && owed.values().stream().allMatch(o -> o.on != null);
    }

    /** How many connections are held. */
    public int connections() {
        return all.size();
    }

    /** Ends our side of all connections on which no request is open, once all that has come was taken. */
    public void closeIdle() {
        List.copyOf(all).forEach(v -> v.duplex.readNow());
        askFresh();
        for (Viewers v : List.copyOf(all)) {
            if (v.open.isEmpty() && !v.reader.within() && v.duplex.isOpen()) {
                v.note(EventKind.CLIENT_CLOSED, "shutdown, no open request");
                v.duplex.finish();
                all.remove(v);
            }
        }
    }

    /** Takes what has come on all connections, then closes them once what they are owed has left. */
    public void finish() {
        List.copyOf(all).forEach(v -> v.duplex.readNow());
        askFresh();
        for (Viewers v : List.copyOf(all)) {
            v.note(EventKind.CLIENT_CLOSED, "shutdown");
            v.duplex.finish();
            if (v.duplex.flushed()) {
                all.remove(v);
            }
        }
    }

    /** Closes all connections at once. */
    public void close() {
        List.copyOf(all).forEach(Viewers::close);
    }

    /**
     * An end goes out on its set-up's connection, else on another that usual viewers use, else as soon as one comes. It is
     * remembered, as what is written to a connection that breaks may never be read: to be told twice harms nobody.
     */
    private void tellEnd(Viewers first, long id, byte[] message) {
        long now = core.clock().now();
        if (owed.size() >= MOST_OWED) {
            Iterator<Owed> oldest = owed.values().iterator();
            oldest.next();
            oldest.remove();
        }
        Owed end = new Owed(message, now);
        owed.remove(id);
        owed.put(id, end);
        if (first.duplex.isOpen()) {
            end.tell(first, now);
        } else {
            tellElsewhere(end, now);
        }
    }

    private void tellElsewhere(Owed end, long now) {
        end.on = null;
        end.others = OTHERS;
        // Where something stands or waits there are usual viewers; the last that came are likeliest to stay.
        List<Viewers> usual = new ArrayList<>(all.stream().filter(v -> v.good && v.duplex.isOpen()).toList());
        Collections.reverse(usual);
        usual.sort(Comparator.comparing(Viewers::idle));
        for (Viewers v : usual.subList(0, Math.min(OTHERS, usual.size()))) {
            end.others--;
            end.tell(v, now);
        }
    }

    /** What was written to a connection that broke goes out again, but for what was surely read. */
    private void tellAgain(Viewers broken) {
        long now = core.clock().now();
        for (Owed end : List.copyOf(owed.values())) {
            if (end.on == broken && (now - end.toldAt < UNREAD || broken.duplex.waits(end.message))) {
                tellElsewhere(end, now);
            }
        }
    }

    /** A connection that usual viewers use has come: what waits for one goes out. */
    private void tellWaiting(Viewers viewers) {
        long now = core.clock().now();
        for (Owed end : List.copyOf(owed.values())) {
            if (viewers.duplex.isOpen() && end.others > 0 && end.on != viewers) {
                end.others--;
                end.tell(viewers, now);
            }
        }
    }

    /** One connection and what is open on it. */
    private final class Viewers implements Duplex.Taker {
        private final long number = ++accepted;
        private final Duplex duplex;
        private final Signal.Reader reader = new Signal.Reader();
        private final Set<Waiting> open = new HashSet<>();
        /** Answered here, and playing. */
        private final Set<Waiting> standing = new HashSet<>();
        private final long since = core.clock().now();
        /** When the first byte of the message came that is not whole yet. */
        private long partialSince = since;
        private long usedAt = since;
        /** A whole message came. */
        private boolean heard;
        /** Something came that viewers or the test say. */
        private boolean good;

        private Viewers(StreamConnection connection) {
            duplex = new Duplex(connection, buffer, MOST_QUEUED, this);
            note(EventKind.CLIENT_CONNECTED, null);
        }

        private void note(EventKind kind, Object detail) {
            events.record(kind, null, number, EventLog.NONE, detail);
        }

        private void note(EventKind kind, long request, Object detail) {
            events.record(kind, Signal.id(request), number, EventLog.NONE, detail);
        }

        private boolean idle() {
            return open.isEmpty() && standing.isEmpty();
        }

        /** It has said nothing, no end of a message, or nothing new for too long; nothing waits for its answer on it. */
        private boolean unheard(long now) {
            if (!open.isEmpty()) {
                return false;
            }
            if (reader.within()) {
                return now - (good ? partialSince : since) > PARTIAL;
            }
            return !good && now - since > UNHEARD || idle() && now - usedAt > IDLE;
        }

        /** Whether that holds after what has come by now is read: on a late loop a set-up may wait unread for long. */
        private boolean stillSo(Predicate<Viewers> what) {
            duplex.readNow();
            return all.contains(this) && what.test(this);
        }

        private void end(String why) {
            note(EventKind.CLIENT_CLOSED, why);
            gone(true);
            close();
        }

        private void close() {
            all.remove(this);
            duplex.close();
        }

        /**
         * What was open is given up with the connection, and so is what plays by an answer that has not left.
         *
         * @param broken whether what waits to be written is lost
         */
        private void gone(boolean broken) {
            all.remove(this);
            for (Waiting w : List.copyOf(open)) {
                w.hungUp();
            }
            if (broken) {
                standing.stream().filter(w -> w.said != null && duplex.waits(w.said)).toList().forEach(w -> core.end(w.session));
                tellAgain(this);
            }
        }

        @Override
        public void closed() {
            note(EventKind.CLIENT_CLOSED, "by the client, or broken");
            gone(true);
        }

        @Override
        public void bytes(ByteBuffer data) {
            try {
                boolean begun = reader.within();
                Signal signal = reader.next(data);
                while (signal != null && duplex.isOpen()) {
                    heard = true;
                    begun = false;
                    usedAt = core.clock().now();
                    take(signal);
                    signal = reader.next(data);
                }
                if (!begun && reader.within()) {
                    partialSince = core.clock().now();
                }
            } catch (Signal.Unreadable e) {
                note(EventKind.CLIENT_CLOSED, e.getMessage());
                gone(false);
                duplex.finish();
            }
        }

        private void take(Signal signal) throws Signal.Unreadable {
            switch (signal.type()) {
                case Signal.SET_UP -> setUp(signal);
                case Signal.RELEASE -> release(signal);
                case Signal.RELEASE_HEARD -> owed.remove(signal.session());
                case Signal.TEST -> {
                    usual();
                    duplex.write(Signal.message(Signal.TESTED, signal.session(), ready && core.healthy() ? 1 : 0));
                }
                case Signal.PROGRESS, Signal.ANSWER, Signal.NOTE, Signal.MOVE, Signal.TESTED, Signal.RUNG -> { }
                default -> throw new Signal.Unreadable("type " + signal.type());
            }
        }

        private void usual() {
            if (!good) {
                good = true;
                tellWaiting(this);
            }
        }

        private void setUp(Signal signal) throws Signal.Unreadable {
            Wish wish;
            try {
                wish = Wish.read(signal, settings);
            } catch (Wish.Refused e) {
                note(EventKind.REQUEST_REFUSED, signal.session(), e.cause());
                duplex.write(Signal.message(Signal.RELEASE, signal.session(), e.cause()));
                return;
            }
            Session there = core.session(signal.id());
            Waiting twin = fresh.get(signal.session());
            if (wish.at() != null) {
                handOver(wish, signal, there);
            } else if (twin != null && twin.viewers != this) {
                // One of them is no viewer, and which came first can't be told: neither is served by the other's word.
                note(EventKind.REQUEST_REFUSED, signal.session(), "same id on two connections");
                twin.rejected(0);
                duplex.write(Signal.message(Signal.RELEASE, signal.session(), NO_ROOM));
            } else if (there != null || twin != null || used.containsKey(signal.session())) {
                // An id is used once: who uses another's, or its own again, is no viewer.
                throw new Signal.Unreadable("an id that was used");
            } else if (open.size() >= MOST_OPEN) {
                note(EventKind.REQUEST_REFUSED, signal.session(), "too many open on the connection");
                duplex.write(Signal.message(Signal.RELEASE, signal.session(), NO_ROOM));
            } else {
                usual();
                note(EventKind.REQUEST_RECEIVED, signal.session(), null);
                Waiting waiting = new Waiting(this, signal.session(), wish.ask());
                open.add(waiting);
                use(signal.session());
                if (fresh.isEmpty()) {
                    turn.execute(SignalFront.this::askFresh);
                }
                fresh.put(signal.session(), waiting);
            }
        }

        private void handOver(Wish wish, Signal signal, Session there) {
            usual();
            if (there != null) {
                return;
            }
            Waiting waiting = new Waiting(this, signal.session(), wish.ask());
            waiting.answered = true;
            standing.add(waiting);
            waiting.session = core.handOver(wish.ask(), hosts.applyAsLong(wish.at()), waiting);
            if (waiting.session == null) {
                standing.remove(waiting);
                duplex.write(Signal.message(Signal.RELEASE, signal.session(), FAILURE));
            }
        }

        private void release(Signal signal) {
            Session session = core.session(signal.id());
            Waiting asked = fresh.get(signal.session());
            if (asked != null) {
                asked.hungUp();
            } else if (session != null && session.state() == Session.State.PLAYING) {
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
        private Ask ask;
        private Session session;
        private boolean answered;
        /** The answer that it plays, as written. */
        private byte[] said;

        private Waiting(Viewers viewers, long id, Ask ask) {
            this.viewers = viewers;
            this.id = id;
            this.ask = ask;
        }

        private void ask() {
            if (!answered) {
                Ask wish = ask;
                ask = null;
                session = core.ask(wish, this);
                if (answered && session != null) {
                    core.hungUp(session, this); // It left while it was asked for; after an answer this does nothing.
                }
            }
        }

        private void answer(byte[] message) {
            if (!answered) {
                answered = true;
                viewers.open.remove(this);
                viewers.duplex.write(message);
                viewers.note(EventKind.REQUEST_ANSWERED, id, session == null ? null : session.state());
            }
        }

        private void hungUp() {
            if (!answered) {
                answered = true;
                viewers.open.remove(this);
                viewers.note(EventKind.REQUEST_CANCELLED, id, null);
                if (session != null) {
                    core.hungUp(session, this);
                }
            }
        }

        @Override
        public void playing(Session plays) {
            byte[] description = plays.description() == null ? new byte[0] : plays.description();
            if (!answered) {
                session = plays;
                said = Signal.message(Signal.ANSWER, id, Signal.DESCRIPTION, description);
                viewers.standing.add(this);
                answer(said);
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
            viewers.standing.remove(this);
            viewers.usedAt = core.clock().now();
            viewers.note(EventKind.SESSION_ENDED, id, ended.end());
            if (ended.end() == Session.End.LEFT) {
                return; // By its viewer's word, heard here or at the media host: it knows.
            }
            tellEnd(viewers, id, ended.end() == Session.End.MOVED ? Signal.message(Signal.MOVE, id, 0, null)
                : Signal.message(Signal.RELEASE, id, ended.end() == Session.End.HOST_LOST ? FAILURE : USUAL));
        }
    }
}
