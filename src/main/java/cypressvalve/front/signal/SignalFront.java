package cypressvalve.front.signal;

import cypressvalve.admission.SharedLimit;
import cypressvalve.diagnostics.EventKind;
import cypressvalve.diagnostics.EventLog;
import cypressvalve.diagnostics.RequestInvariants;
import cypressvalve.model.Settings;
import cypressvalve.net.Duplex;
import cypressvalve.session.Answer;
import cypressvalve.session.Ask;
import cypressvalve.session.HandOverSource;
import cypressvalve.session.Session;
import cypressvalve.session.SessionCore;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private static final long SILENCE_LIMIT = 3 * SECOND / 2;
    /** A message that is not whole so long after its first byte has a sender that will not complete it. */
    private static final long PARTIAL_MESSAGE_LIMIT = 5 * SECOND / 2;
    /** A connection with no session is closed after this: viewers themselves close theirs after 4 s. */
    private static final long IDLE_LIMIT = 6 * SECOND;
    /** An end that could not be told is kept so long: its viewer is owed it for 8 s. */
    private static final long RELEASE_KEPT = 10 * SECOND;
    /** An end written so long before its client ended the connection had come by then: a reset shows what was left unread. */
    private static final long UNREAD_WINDOW = 2 * SECOND;
    /** Other connections on which an end goes out whose own has gone: one of them may be no usual viewer's. */
    private static final int OTHER_CONNECTIONS = 3;
    /** Set-ups that one connection may have open: several times what a busy gateway takes in a second. */
    private static final int MAX_OPEN_REQUESTS = 256;
    /** Ids of set-ups are remembered so long: none is used twice, and who does is no viewer. */
    private static final long USED_ID_KEPT = 30 * SECOND;
    /** A client's release may be read so long before the set-up or hand-over that it belongs to, on another connection. */
    private static final long EARLY_RELEASE_KEPT = 30 * SECOND;
    private static final int MAX_QUEUED_BYTES = 256 * 1024;
    /** What a request holds besides its description. */
    private static final int REQUEST_OVERHEAD_BYTES = 1024;
    /**
     * A cancel may come on any connection: all are read before an attempt leaves where they were not read for so long, half of
     * the time that the protocol allows between a client's leaving and an attempt.
     */
    private static final long READ_ALL_INTERVAL = 50_000_000L;
    /** Bytes read at once of a request's own client before its attempt leaves: several times what usual clients have unread. */
    private static final long MAX_OWN_BYTES = 64 * 1024;
    /** Bytes read then of each other client, and of all of them; the next look begins where the last one stopped. */
    private static final long MAX_OTHER_BYTES = 16 * 1024;
    private static final long MAX_OTHERS_BYTES = 64 * 1024;
    /** A client of which more was unread than is read at once is read for its attempts again after this. */
    private static final long READ_OWN_INTERVAL = 1_000_000L;
    /** Requests are asked for so long in one task; then what is due and what has come elsewhere has its turn. */
    private static final long ASK_BUDGET = 2_000_000L;
    /** At one look during shutdown so long is spent on what still comes; then what is due has its turn. */
    private static final long CLOSE_BUDGET = 10_000_000L;
    /** Ends remembered: more than a busy gateway tells in the time that they are kept. */
    private static final int MAX_PENDING_RELEASES = 4096;
    /** Q.850: no circuit, that is no room now; a failure; a usual end. */
    private static final int NO_ROOM = 34;
    private static final int FAILURE = 41;
    private static final int NORMAL_CLEARING = 16;

    private final SessionCore core;
    private final Settings settings;
    private final ToLongFunction<String> hosts;
    private final FrontLimits limits;
    private final ByteBuffer buffer;
    private final Executor turn;
    private final Executor afterReading;
    private final EventLog events;
    private final RequestInvariants invariants;
    /** Requests that wait for their answer, by id. */
    private final Map<String, PendingRequest> openRequests = new HashMap<>();
    /** Of all connections: requests that wait for their answer, their bytes, and bytes that wait to be written. */
    private final SharedLimit<ClientConnection> openTogether;
    private final SharedLimit<ClientConnection> requestBytesTogether;
    private final SharedLimit<Duplex> queuedTogether;
    private final SharedLimit<ClientConnection> releasesTogether = new SharedLimit<>(MAX_PENDING_RELEASES);
    /** Held for messages that are not whole, of all connections. */
    private long partialBytes;
    private long allReadAt;
    /** How many connections were read of for attempts so far: where the next look begins. */
    private int readForOthers;
    /** Connections accepted so far; numbers them in the event log. */
    private long accepted;
    /**
     * Set-ups read in this turn of the loop, by session: they go on with the next, once all that came was read. Their
     * viewers may have left meanwhile, and connections are read in any order.
     */
    private final Map<Long, PendingRequest> unasked = new LinkedHashMap<>();
    /** A task is on its way that asks for them. */
    private boolean askDue;
    /** Connections are read for an attempt that is about to leave: what comes in must not keep the loop in its tasks. */
    private boolean readingForAttempt;
    private final UsedIds usedIds = new UsedIds(USED_ID_KEPT);
    /** Sessions that their clients have ended, of which nothing was known here. */
    private final RecentIds earlyReleases = new RecentIds(EARLY_RELEASE_KEPT);
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    /** Connections that were closed here and whose clients may not have ended them. */
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();
    /** By session, the oldest first: ends of the last seconds, told or not. */
    private final Map<Long, PendingRelease> pendingReleases = new LinkedHashMap<>();
    private boolean ready;

    /** The end of what stood, from when its viewer is owed it until it was surely read or is owed no more. */
    private static final class PendingRelease {
        private final ClientConnection owner;
        private final long id;
        private final byte[] message;
        private final long since;
        /** Connections on which it was written and may be unread, with when. */
        private final Map<ClientConnection, Long> unread = new HashMap<>();
        /** Whether it was written to a connection that has not lost it; where not, it waits for one. */
        private boolean written;
        /** How many other connections it goes out on yet. */
        private int others;

        private PendingRelease(ClientConnection owner, long id, byte[] message, long since) {
            this.owner = owner;
            this.id = id;
            this.message = message;
            this.since = since;
        }

        private void tell(ClientConnection client, long now, String where) {
            unread.put(client, now);
            written = true;
            client.duplex.write(message);
            client.note(EventKind.RELEASE_SENT, id, where);
        }

        /** Whether its client may not have read it on that connection, which has ended. */
        private boolean lostWith(ClientConnection ended, long now) {
            Long at = unread.remove(ended);
            return at != null
                && (ended.duplex.resetByPeer() || now - at < UNREAD_WINDOW || ended.duplex.waits(message));
        }
    }

    /**
     * @param hosts a media host's number by its name
     * @param limits on what all viewers hold together
     * @param buffer what is read into, shared by the thread's connections
     * @param turn runs what it is given once all that has come was read
     * @param afterReading runs what it is given after the loop has seen to what is due and has read its sockets again
     * @param events takes what happens to connections and requests
     * @param invariants is told of each request's receipt and end
     */
    public SignalFront(SessionCore core, Settings settings, ToLongFunction<String> hosts, FrontLimits limits,
        ByteBuffer buffer, Executor turn, Executor afterReading, EventLog events, RequestInvariants invariants) {
        this.core = core;
        this.settings = settings;
        this.hosts = hosts;
        this.limits = limits;
        openTogether = new SharedLimit<>(limits.openRequests());
        requestBytesTogether = new SharedLimit<>(limits.requestBytes());
        queuedTogether = new SharedLimit<>(limits.queuedBytes());
        this.buffer = buffer;
        this.turn = turn;
        this.afterReading = afterReading;
        this.events = events;
        this.invariants = invariants;
    }

    /** Whether tests are passed, while the core serves. */
    public void ready(boolean on) {
        ready = on;
    }

    /** A connection from viewers came. */
    public void accept(StreamConnection connection) {
        if (clients.size() >= limits.connections() && !evict()) {
            org.xnio.IoUtils.safeClose(connection);
            events.record(EventKind.CLIENT_CLOSED, "no room for one more");
            return;
        }
        ClientConnection client = new ClientConnection(connection);
        clients.add(client);
        client.duplex.start();
        long now = core.clock().now();
        pendingReleases.values().stream().filter(end -> !end.written)
            .forEach(end -> end.tell(client, now, "a connection that came, the only one"));
    }

    /** Closes the oldest that never said a whole message, else an idle one, but none that has just said something. */
    private boolean evict() {
        for (ClientConnection client : List.copyOf(clients)) {
            if (!client.heard && client.holdsAfterReading(o -> !o.heard)) {
                client.end("room: said nothing whole");
                return true;
            }
        }
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.idle() && client.holdsAfterReading(ClientConnection::idle)) {
                client.end("room: idle");
                return true;
            }
        }
        return clients.size() < limits.connections();
    }

    /** Looks after connections that say nothing; called some times a second. */
    public void sweep() {
        long now = core.clock().now();
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.unheard(now) && client.holdsAfterReading(o -> o.unheard(now))) {
                client.end("silent");
            }
        }
        pendingReleases.values().stream().takeWhile(release -> now - release.since > RELEASE_KEPT).toList().forEach(this::expire);
        clients.forEach(ClientConnection::forgetSentAnswers);
        allEnded();
        usedIds.expire(now);
        earlyReleases.expire(now);
    }

    private void askUnasked() {
        askDue = false;
        long until = System.nanoTime() + ASK_BUDGET;
        while (!unasked.isEmpty() && System.nanoTime() < until) {
            unasked.remove(unasked.keySet().iterator().next()).ask();
        }
        askLater(afterReading);
    }

    private void askAll() {
        while (!unasked.isEmpty()) {
            unasked.remove(unasked.keySet().iterator().next()).ask();
        }
    }

    private void askLater(Executor when) {
        if (!unasked.isEmpty() && !askDue) {
            askDue = true;
            when.execute(this::askUnasked);
        }
    }

    /**
     * Takes what its client has said of a request by now, as that waits unread while the loop does something else or the process
     * stands still; not from within the handling of a message.
     *
     * @return whether nothing that its client had said is unread; where not, its end may stand behind that
     */
    public boolean readClientOf(String request) {
        readingForAttempt = true;
        long now = core.clock().now();
        if (now - allReadAt > READ_ALL_INTERVAL) {
            allReadAt = now;
            readOthers();
        }
        PendingRequest pending = openRequests.get(request);
        boolean read = pending == null || pending.client.readForAttempt(now);
        readingForAttempt = false;
        return read;
    }

    /** An attempt of that request has left for a media host: its id is not used again. */
    public void attemptSent(String request) {
        usedIds.sent(Signal.session(request), core.clock().now());
    }

    /** Some of each, in turn: one that sends without end must not keep the loop from the others. */
    private void readOthers() {
        List<ClientConnection> all = List.copyOf(clients);
        long bytes = 0;
        for (int i = 0; i < all.size() && bytes < MAX_OTHERS_BYTES; i++) {
            bytes += all.get(Math.floorMod(readForOthers++, all.size())).duplex.readNow(MAX_OTHER_BYTES);
        }
    }

    /** Whether all answers and ends have left for the sockets. */
    public boolean flushed() {
        return clients.stream().allMatch(client -> client.duplex.flushed())
            && pendingReleases.values().stream().allMatch(release -> release.written);
    }

    /** How many connections are held, without those that were closed here and whose clients have not ended them. */
    public int connections() {
        return clients.size();
    }

    /** Whether clients have ended all connections that were closed here; those that have not within a second are closed. */
    public boolean allEnded() {
        long now = core.clock().now();
        lingering.stream().filter(client -> now - client.lingersSince > SECOND).forEach(client -> client.duplex.close());
        lingering.removeIf(client -> client.duplex.isClosed());
        return lingering.isEmpty();
    }

    /**
     * Closes the connections on which no request is open, once what has come there was taken: also within a message, as no process
     * has taken a request whose last byte has not come. Each is read right before its close, until nothing comes any more, as a
     * request that comes in between has no answer; one that goes on bringing requests waits for the next look.
     *
     * @param withSessions whether also those on which sessions stand
     */
    public void closeIdle(boolean withSessions) {
        long until = System.nanoTime() + CLOSE_BUDGET;
        for (ClientConnection client : List.copyOf(clients)) {
            boolean cameMore = client.duplex.readNow(MAX_OWN_BYTES) > 0;
            while (cameMore && System.nanoTime() < until) {
                askAll();
                cameMore = client.duplex.readNow(MAX_OWN_BYTES) > 0;
            }
            boolean unused = client.open.isEmpty() && (withSessions || client.standing.isEmpty());
            if (!cameMore && unused && client.duplex.isOpen() && client.duplex.flushed()) {
                client.note(EventKind.CLIENT_CLOSED, "shutdown, no open request");
                client.linger();
            }
        }
    }

    /** Takes what has come on all connections, then closes them once what they are owed has left. */
    public void finish() {
        List.copyOf(clients).forEach(client -> client.duplex.readNow(MAX_OWN_BYTES));
        askAll();
        for (ClientConnection client : List.copyOf(clients)) {
            client.note(EventKind.CLIENT_CLOSED, "shutdown");
            invariants.closing(client.open.stream().map(request -> Signal.id(request.id)).toList());
            client.linger();
        }
    }

    /** Closes all connections at once. */
    public void close() {
        List.copyOf(clients).forEach(ClientConnection::close);
        lingering.forEach(client -> client.duplex.close());
        lingering.clear();
    }

    /**
     * An end goes out on its set-up's connection, else on another that usual viewers use, else as soon as one comes. It is
     * remembered, as what is written to a connection that breaks may never be read: to be told twice harms nobody.
     */
    private void sendRelease(ClientConnection first, long id, byte[] message) {
        long now = core.clock().now();
        PendingRelease end = new PendingRelease(first, id, message, now);
        forget(pendingReleases.get(id));
        remember(end);
        if (first.duplex.isOpen()) {
            end.tell(first, now, "own connection");
        } else {
            resendElsewhere(end, now);
        }
    }

    /** Where too many are remembered, the oldest of the connection that has the more goes: one client's ends cost no other's. */
    private void remember(PendingRelease release) {
        ClientConnection owner = release.owner;
        releasesTogether.payerFor(owner, 1).ifPresent(payer ->
            forget((payer.releases.isEmpty() ? pendingReleases.values() : payer.releases).iterator().next()));
        pendingReleases.put(release.id, release);
        owner.releases.add(release);
        releasesTogether.add(owner, 1);
    }

    private void expire(PendingRelease release) {
        invariants.endGivenUp(Signal.id(release.id), release.written, clients.stream().anyMatch(client -> client.good));
        forget(release);
    }

    /** @param release null for none */
    private void forget(PendingRelease release) {
        if (release != null && pendingReleases.remove(release.id, release)) {
            release.owner.releases.remove(release);
            releasesTogether.add(release.owner, -1);
        }
    }

    private void resendElsewhere(PendingRelease end, long now) {
        end.others = OTHER_CONNECTIONS;
        // Where something stands or waits there are usual viewers; the last that came are likeliest to stay.
        List<ClientConnection> open = new ArrayList<>(clients.stream().filter(client -> client.duplex.isOpen()).toList());
        Collections.reverse(open);
        open.sort(Comparator.comparing((ClientConnection client) -> !client.good).thenComparing(ClientConnection::idle));
        for (ClientConnection client : open.subList(0, Math.min(OTHER_CONNECTIONS, open.size()))) {
            end.others -= client.good ? 1 : 0; // Who has said nothing yet may be no viewer.
            end.tell(client, now, "another connection");
        }
        if (!end.written) {
            events.record(EventKind.RELEASE_WAITS, Signal.id(end.id), EventLog.NONE, EventLog.NONE, null);
        }
    }

    /** What may be unread on a connection that ended, and was written on no other that is open, goes out again. */
    private void resendUnread(ClientConnection broken) {
        long now = core.clock().now();
        for (PendingRelease end : List.copyOf(pendingReleases.values())) {
            if (end.lostWith(broken, now) && end.unread.isEmpty()) {
                end.written = false;
                resendElsewhere(end, now);
            }
        }
    }

    /** A connection that usual viewers use has come: what waits for one goes out. */
    private void sendPendingReleases(ClientConnection client) {
        long now = core.clock().now();
        for (PendingRelease end : List.copyOf(pendingReleases.values())) {
            if (client.duplex.isOpen() && end.others > 0 && !end.unread.containsKey(client)) {
                end.others--;
                end.tell(client, now, "a connection that came");
            }
        }
    }

    /** Where messages that are not whole hold too much, the longest of them goes first, but for those beside open requests. */
    private void boundPartialMessages() {
        while (partialBytes > limits.partialBytes()) {
            ClientConnection largest = clients.stream().filter(client -> client.open.isEmpty())
                .max(Comparator.comparingInt(client -> client.heldBytes)).filter(client -> client.heldBytes > 0).orElse(null);
            if (largest == null) {
                return;
            }
            largest.end("messages that are not whole hold too much");
        }
    }

    /** One connection and what is open on it. */
    private final class ClientConnection implements Duplex.Taker {
        private final long number = ++accepted;
        private final Duplex duplex;
        private final Signal.Reader reader = new Signal.Reader();
        private final Set<PendingRequest> open = new LinkedHashSet<>();
        /** Answered here, and playing. */
        private final Set<PendingRequest> standing = new HashSet<>();
        /** Those whose answer may wait to be written, the oldest first. */
        private final ArrayDeque<PendingRequest> unsentAnswers = new ArrayDeque<>();
        /** Ends that are remembered of what stood or was to stand here, the oldest first. */
        private final Set<PendingRelease> releases = new LinkedHashSet<>();
        private final HandOverSource handOvers = new HandOverSource();
        private final long since = core.clock().now();
        /** When the first byte of the message came that is not whole yet. */
        private long partialSince = since;
        private long usedAt = since;
        private long lingersSince;
        /** Held for a message that is not whole. */
        private int heldBytes;
        /** When it was read last for an attempt, and whether nothing was left unread then. */
        private long readAt = since;
        private boolean caughtUp = true;
        /** A whole message came. */
        private boolean heard;
        /** Something came that viewers or the test say. */
        private boolean good;

        private ClientConnection(StreamConnection connection) {
            duplex = new Duplex(connection, buffer, MAX_QUEUED_BYTES, queuedTogether, this);
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
                return now - (good ? partialSince : since) > PARTIAL_MESSAGE_LIMIT;
            }
            return !good && now - since > SILENCE_LIMIT || idle() && now - usedAt > IDLE_LIMIT;
        }

        /** Whether that holds after what has come by now is read: on a late loop a set-up may wait unread for long. */
        private boolean holdsAfterReading(Predicate<ClientConnection> what) {
            boolean read = duplex.readNow(MAX_OWN_BYTES) < MAX_OWN_BYTES;
            return read && clients.contains(this) && what.test(this);
        }

        /** Whether all that has come was read; once in a while only where more comes than is read at once. */
        private boolean readForAttempt(long now) {
            if (!caughtUp && now - readAt < READ_OWN_INTERVAL) {
                return false;
            }
            readAt = now;
            caughtUp = duplex.readNow(MAX_OWN_BYTES) < MAX_OWN_BYTES;
            return caughtUp;
        }

        private void end(String why) {
            note(EventKind.CLIENT_CLOSED, why);
            invariants.closing(open.stream().map(request -> Signal.id(request.id)).toList());
            abandon(true);
            close();
        }

        private void close() {
            clients.remove(this);
            holds(0);
            duplex.close();
        }

        private void holds(int bytes) {
            partialBytes += bytes - heldBytes;
            heldBytes = bytes;
        }

        /** Ends this side; its client is to read all that was written. */
        private void linger() {
            clients.remove(this);
            holds(0);
            lingering.add(this);
            lingersSince = core.clock().now();
            duplex.linger();
        }

        /**
         * What was open is given up with the connection, and so is what plays by an answer that has not left.
         *
         * @param broken whether what waits to be written is lost
         */
        private void abandon(boolean broken) {
            clients.remove(this);
            holds(0);
            for (PendingRequest w : List.copyOf(open)) {
                w.hungUp();
            }
            if (broken) {
                unsentAnswers.stream().filter(request -> duplex.waits(request.answerBytes)).toList()
                    .forEach(request -> core.end(request.session));
                unsentAnswers.clear();
                resendUnread(this);
            }
        }

        @Override
        public void closed() {
            note(EventKind.CLIENT_CLOSED, "by the client, or broken");
            abandon(true);
        }

        @Override
        public void bytes(ByteBuffer data) {
            try {
                boolean begun = reader.within();
                Signal signal = reader.next(data);
                while (signal != null && duplex.takes()) {
                    heard = true;
                    begun = false;
                    usedAt = core.clock().now();
                    take(signal);
                    signal = reader.next(data);
                }
                while (signal != null && duplex.lingers()) {
                    takeBehindClose(signal);
                    signal = reader.next(data);
                }
                if (!begun && reader.within()) {
                    partialSince = core.clock().now();
                }
                if (duplex.takes()) {
                    holds(reader.heldBytes());
                    boundPartialMessages();
                }
            } catch (Signal.Unreadable e) {
                note(EventKind.CLIENT_CLOSED, e.getMessage());
                abandon(false);
                duplex.finish();
            }
        }

        private void take(Signal signal) throws Signal.Unreadable {
            switch (signal.type()) {
                case Signal.SET_UP -> setUp(signal);
                case Signal.RELEASE -> release(signal);
                case Signal.RELEASE_HEARD -> {
                    PendingRelease heard = pendingReleases.get(signal.session());
                    if (heard != null) {
                        forget(heard);
                        note(EventKind.RELEASE_ACKNOWLEDGED, signal.session(), null);
                    }
                }
                case Signal.TEST -> {
                    markGood();
                    duplex.write(Signal.message(Signal.TESTED, signal.session(), ready && core.healthy() ? 1 : 0));
                }
                case Signal.PROGRESS, Signal.ANSWER, Signal.NOTE, Signal.MOVE, Signal.TESTED, Signal.RUNG -> { }
                default -> throw new Signal.Unreadable("type " + signal.type());
            }
        }

        /** What concerns sessions belongs to no connection, and its client says it once; a set-up is sent again on another. */
        private void takeBehindClose(Signal signal) throws Signal.Unreadable {
            if (signal.type() == Signal.RELEASE || signal.type() == Signal.RELEASE_HEARD) {
                take(signal);
            }
        }

        private void markGood() {
            if (!good) {
                good = true;
                sendPendingReleases(this);
            }
        }

        private void setUp(Signal signal) throws Signal.Unreadable {
            if (!core.healthy() && !Wish.handsOver(signal)) {
                refuseUnread(signal);
                return;
            }
            Wish wish;
            try {
                wish = Wish.read(signal, settings);
            } catch (Wish.Refused e) {
                note(EventKind.REQUEST_REFUSED, signal.session(), e.cause());
                duplex.write(Signal.message(Signal.RELEASE, signal.session(), e.cause()));
                return;
            }
            Session there = core.session(signal.id());
            PendingRequest twin = unasked.get(signal.session());
            if (wish.at() != null) {
                handOver(wish, signal, there);
            } else if (twin != null && twin.client != this) {
                // One of them is no viewer, and which came first can't be told: neither is served by the other's word.
                twin.rejected(0);
                refuse(signal.session(), "same id on two connections");
            } else if (there != null || twin != null || usedIds.contains(signal.session())) {
                // An id is used once: who uses another's, or its own again, is no viewer.
                throw new Signal.Unreadable("an id that was used");
            } else if (!makeRoomFor(wish.ask())) {
                refuse(signal.session(), "too many open on the connection");
            } else {
                markGood();
                note(EventKind.REQUEST_RECEIVED, signal.session(), null);
                PendingRequest request = new PendingRequest(this, signal.session(), wish.ask());
                request.opened();
                invariants.received(signal.id());
                usedIds.taken(signal.session(), core.clock().now());
                if (earlyReleases.remove(signal.session())) {
                    request.hungUp();
                    return;
                }
                unasked.put(signal.session(), request);
                askLater(readingForAttempt ? afterReading : turn);
            }
        }

        /** Guards against connections that fill the memory, or the places of those who wait for an answer: they pay, others do not. */
        private boolean makeRoomFor(Ask ask) {
            return open.size() < MAX_OPEN_REQUESTS && makeRoom(openTogether, 1) && makeRoom(requestBytesTogether, heldBytes(ask));
        }

        private boolean makeRoom(SharedLimit<ClientConnection> limit, long more) {
            Optional<ClientConnection> payer = limit.payerFor(this, more);
            while (payer.isPresent() && payer.get() != this && payer.get().giveUpNewest()) {
                payer = limit.payerFor(this, more);
            }
            return payer.isEmpty();
        }

        /** Answers the request that came last, best one that was not asked for yet; whether one was given up. */
        private boolean giveUpNewest() {
            PendingRequest newest = null;
            for (PendingRequest request : open) {
                newest = newest == null || !request.isAsked() || newest.isAsked() ? request : newest;
            }
            return newest != null && newest.giveUp();
        }

        private void holdAnswer(PendingRequest request) {
            forgetSentAnswers();
            unsentAnswers.add(request);
        }

        /** Answers leave in order: what is behind one that waits does, too. */
        private void forgetSentAnswers() {
            while (!unsentAnswers.isEmpty() && !duplex.waits(unsentAnswers.peek().answerBytes)) {
                unsentAnswers.poll().answerBytes = null;
            }
        }

        /** What a set-up wants is not looked at during shutdown: with little of a core, refusals have to keep up with clients. */
        private void refuseUnread(Signal signal) throws Signal.Unreadable {
            PendingRequest twin = unasked.get(signal.session());
            if (twin != null && twin.client != this) {
                twin.rejected(0);
            } else if (twin != null || usedIds.contains(signal.session()) || core.session(signal.id()) != null) {
                throw new Signal.Unreadable("an id that was used");
            }
            markGood();
            usedIds.taken(signal.session(), core.clock().now());
            refuse(signal.session(), "shutdown");
        }

        private void refuse(long id, String why) {
            note(EventKind.REQUEST_REFUSED, id, why);
            duplex.write(Signal.message(Signal.RELEASE, id, NO_ROOM));
        }

        private void handOver(Wish wish, Signal signal, Session there) {
            markGood();
            if (there != null) {
                return;
            }
            PendingRequest request = new PendingRequest(this, signal.session(), wish.ask());
            request.answered = true;
            request.ask = null;
            standing.add(request);
            request.session = core.handOver(wish.ask(), hosts.applyAsLong(wish.at()), handOvers, request);
            note(EventKind.SESSION_HANDED_OVER, signal.session(), request.session == null ? "refused" : request.session.state());
            boolean ended = earlyReleases.remove(signal.session());
            if (request.session == null) {
                standing.remove(request);
                sendRelease(this, signal.session(), Signal.message(Signal.RELEASE, signal.session(), FAILURE));
            } else if (ended) {
                core.end(request.session);
            }
        }

        private void release(Signal signal) {
            Session session = core.session(signal.id());
            PendingRequest asked = unasked.get(signal.session());
            if (asked != null) {
                note(EventKind.CLIENT_RELEASE_READ, signal.session(), "request, not asked yet");
                asked.hungUp();
            } else if (session != null && session.state() == Session.State.PLAYING) {
                note(EventKind.CLIENT_RELEASE_READ, signal.session(), "session");
                core.end(session);
            } else if (session != null && session.watching() instanceof PendingRequest w) {
                note(EventKind.CLIENT_RELEASE_READ, signal.session(), "request");
                w.hungUp();
            } else {
                note(EventKind.CLIENT_RELEASE_READ, signal.session(), "nothing known");
                if (!usedIds.contains(signal.session())) {
                    earlyReleases.add(signal.session(), core.clock().now());
                }
            }
            duplex.write(Signal.message(Signal.RELEASE_HEARD, signal.session(), 0, null));
        }
    }

    private static long heldBytes(Ask ask) {
        return REQUEST_OVERHEAD_BYTES + ask.offer().description().length;
    }

    /** One request, from its set-up to the end of what it led to. */
    private final class PendingRequest implements Answer {
        private final ClientConnection client;
        private final long id;
        private Ask ask;
        /** Counted as long as it is open. */
        private long bytes;
        private Session session;
        private boolean answered;
        /** The answer that it plays, as written; null once it has left. */
        private byte[] answerBytes;

        private PendingRequest(ClientConnection client, long id, Ask ask) {
            this.client = client;
            this.id = id;
            this.ask = ask;
        }

        private void opened() {
            bytes = SignalFront.heldBytes(ask);
            client.open.add(this);
            openRequests.put(Signal.id(id), this);
            count(1, bytes);
        }

        private void count(int requests, long requestBytes) {
            openTogether.add(client, requests);
            requestBytesTogether.add(client, requestBytes);
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

        private void close() {
            if (client.open.remove(this)) {
                openRequests.remove(Signal.id(id), this);
                count(-1, -bytes);
            }
            ask = null;
        }

        private void answer(byte[] message) {
            if (!answered) {
                answered = true;
                close();
                if (invariants.answer(Signal.id(id))) {
                    client.duplex.write(message);
                }
                client.note(EventKind.REQUEST_ANSWERED, id, session == null ? null : session.state());
            }
        }

        private boolean isAsked() {
            return ask == null;
        }

        /** Refuses it for another's, or has it answered at once where it may be at a media host; whether it is over. */
        private boolean giveUp() {
            if (unasked.remove(id, this)) {
                client.note(EventKind.REQUEST_REFUSED, id, "given up for another connection's");
                rejected(0);
            } else if (session != null) {
                core.answerNow(session);
            }
            return answered;
        }

        private void hungUp() {
            if (!answered) {
                answered = true;
                close();
                invariants.cancelled(Signal.id(id));
                client.note(EventKind.REQUEST_CANCELLED, id, null);
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
                answerBytes = Signal.message(Signal.ANSWER, id, Signal.DESCRIPTION, description);
                client.standing.add(this);
                client.holdAnswer(this);
                answer(answerBytes);
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
            client.standing.remove(this);
            client.usedAt = core.clock().now();
            client.note(EventKind.SESSION_ENDED, id, ended.end());
            if (ended.end() == Session.End.LEFT) {
                return; // By its viewer's word, heard here or at the media host: it knows.
            }
            sendRelease(client, id, ended.end() == Session.End.MOVED ? Signal.message(Signal.MOVE, id, 0, null)
                : Signal.message(Signal.RELEASE, id, ended.end() == Session.End.HOST_LOST ? FAILURE : NORMAL_CLEARING));
        }
    }
}
