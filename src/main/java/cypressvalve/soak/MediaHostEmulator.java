package cypressvalve.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * A media host of the platform on loopback: takes set-ups over RTSP and records when each attempt begins and ends there.
 * Its faults are switched while it runs.
 */
public final class MediaHostEmulator implements AutoCloseable {
    private static final byte[] EMPTY = {};
    private static final long RETRY_MILLIS = 10;

    private final String name;
    private final EventRecord record;
    private final HostListener listener;
    private final HostSessions sessions;
    private final ScheduledExecutorService ends;
    private final ExecutorService threads;
    private final Set<HostConnection> connections = ConcurrentHashMap.newKeySet();
    /** Attempts that are out: they have come whole and have not ended. */
    private final Set<OpenAttempt> open = ConcurrentHashMap.newKeySet();
    /** Those of them that the process has taken: it answers no others. */
    private final Set<OpenAttempt> taken = ConcurrentHashMap.newKeySet();
    private volatile AnswerMode mode = AnswerMode.NORMAL;
    private volatile long answerDelayMillis;
    private volatile long readDelayMillis;
    private volatile boolean acceptsWhileHanging;
    /** Ends of sessions that were due while the process hung. */
    private final Queue<Runnable> dueEnds = new ConcurrentLinkedQueue<>();
    private volatile boolean acknowledgesCancels;
    private volatile DescriptionForm descriptions = DescriptionForm.PAGE;
    private volatile List<SpoiltForm> spoiltForms = List.of(SpoiltForm.values());
    private volatile double spoiltShare = 1;
    private final RandomGenerator chance;
    private volatile boolean cut;
    private boolean acceptsLate;
    private volatile Supplier<SessionEnd> sessionEnds = () -> null;
    private volatile GatewayNames gateways = GatewayNames.ONLY;
    private volatile ArrivalLateness lateness = new ArrivalLateness();
    /** Until when, in microseconds of the record, what came was held back by a fault. */
    private volatile long heldBackUntil = Long.MIN_VALUE;
    private volatile boolean unreachable;

    private record OpenAttempt(String session, HostConnection connection) { }

    /** @param name the instance id that the list gives it */
    public MediaHostEmulator(String name, EventRecord record) throws IOException {
        this(name, record, 0, false);
    }

    /**
     * @param port where it listens; 0 for one that the system picks
     * @param repeatsHeardReleases whether a release that was acknowledged is said again on the next connection, too
     */
    MediaHostEmulator(String name, EventRecord record, int port, boolean repeatsHeardReleases) throws IOException {
        this.name = name;
        this.record = record;
        sessions = new HostSessions(name, record, repeatsHeardReleases);
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(name.hashCode());
        ends = Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "sessions of " + name));
        threads = Executors.newCachedThreadPool(task -> daemon(task, "media host " + name));
        listener = new HostListener(port, this::connected);
        start(listener);
    }

    /** Threads are used again: one that starts keeps whoever takes connections from them until it is scheduled. */
    private void start(Runnable task) {
        threads.execute(task);
    }

    private static Thread daemon(Runnable task, String threadName) {
        Thread thread = new Thread(task, threadName);
        thread.setDaemon(true);
        return thread;
    }

    public String name() {
        return name;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Whether set-ups are answered; where not, they are taken and nothing is said. */
    public void answersSetUps(boolean on) {
        mode = on ? AnswerMode.NORMAL : AnswerMode.SILENT;
    }

    /**
     * How set-ups are answered from now on.
     *
     * @param delayMillis how late, where they are answered late
     */
    public void answers(AnswerMode how, long delayMillis) {
        answerDelayMillis = delayMillis;
        mode = how;
    }

    /** How its answers describe sessions from now on. */
    public void describesAs(DescriptionForm form) {
        descriptions = form;
    }

    /**
     * How answers are spoilt in {@link AnswerMode#SPOILT}.
     *
     * @param share part of the answers that are; the others are good
     */
    public void spoils(List<SpoiltForm> forms, double share) {
        spoiltForms = List.copyOf(forms);
        spoiltShare = share;
    }

    /** Whether a cancel is acknowledged, which the protocol leaves free. */
    public void acknowledgesCancels(boolean on) {
        acknowledgesCancels = on;
    }

    /** How long what has come lies unread before it is taken, in milliseconds. */
    public void readDelay(long millis) {
        readDelayMillis = millis;
        endDue();
        connections.forEach(connection -> connection.messages.delayChanged());
    }

    /** Takes nothing that comes, until a delay is set again; its connections stay open. */
    public void hang() {
        hang(false);
    }

    /**
     * The same.
     *
     * @param accepts whether it goes on taking connections, which are then none that are opened after it goes on
     */
    public void hang(boolean accepts) {
        acceptsWhileHanging = accepts;
        readDelay(ArrivedMessages.HANGS);
    }

    /** Whether new connections do not come up: those begun meanwhile do so late, as the system tries again. */
    public void unreachable(boolean on) throws IOException {
        heldBackUntil = Long.MAX_VALUE;
        unreachable = on;
        listener.unreachable(on);
        heldBackUntil = record.now();
    }

    /**
     * Whether new connections come up late, though their other side has them up at once, as behind a proxy: what is sent on them comes
     * once they are up, unless its sender has reset the connection meanwhile.
     */
    public synchronized void acceptsLate(boolean on) {
        heldBackUntil = Long.MAX_VALUE;
        acceptsLate = on;
        if (!on) {
            connections.forEach(connection -> connection.late = false);
        }
        heldBackUntil = record.now();
        notifyAll();
    }

    /** How each session that begins from now on ends here by itself; null for one that does not. */
    public void sessionsEnd(Supplier<SessionEnd> how) {
        sessionEnds = how;
    }

    /** Tells gateways apart, where there are several. */
    void gateways(GatewayNames names) {
        gateways = names;
    }

    /** Where it is noted how late what comes was noted, if no fault held it back. */
    void measures(ArrivalLateness arrivals) {
        lateness = arrivals;
    }

    /** Ids of the sessions that stand here. */
    public List<String> standing() {
        return sessions.standing();
    }

    /** Whether the network to it is cut in both directions: open connections stay open, and nothing passes. */
    public synchronized void cut(boolean on) {
        heldBackUntil = Long.MAX_VALUE;
        cut = on;
        heldBackUntil = record.now();
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void connected(Socket socket) {
        try {
            HostConnection connection = new HostConnection(socket);
            synchronized (this) {
                connection.late = acceptsLate;
            }
            connection.start();
        } catch (IOException e) {
            return; // It has ended already.
        }
    }

    private final class HostConnection implements HostSessions.Path {
        private final Socket socket;
        private final ArrivedMessages messages;
        private final Object writing = new Object();
        private volatile boolean ended;
        private volatile String owner;
        /** It is not up yet at this side. */
        private volatile boolean late;
        /** What is written behind the rest of a message that comes later; null where no rest is awaited. */
        private List<byte[]> behindRest;

        private HostConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            messages = new ArrivedMessages(new CutInput(socket, () -> cut || late), record::now, () -> readDelayMillis, this::arrived);
            connections.add(this);
        }

        private void start() {
            MediaHostEmulator.this.start(messages);
            MediaHostEmulator.this.start(this::serve);
            if (!late && !cut && (readDelayMillis == 0 || acceptsWhileHanging)) {
                gateways.find(socket, this::ownedBy); // Else with the first message that the process takes.
            }
        }

        private void identify(RtspMessage message) {
            if (owner == null) {
                String gateway = gateways.ofRequest(message.session());
                if (gateway == null) {
                    gateways.find(socket, this::ownedBy);
                } else {
                    ownedBy(gateway);
                }
            }
        }

        private void ownedBy(String gateway) {
            synchronized (this) {
                if (owner != null) {
                    return;
                }
                owner = gateway;
            }
            sessions.opened(this);
        }

        @Override
        public String owner() {
            return owner;
        }

        /** As far as the process knows: the end of a connection may have come, and it writes on it until it has taken that. */
        @Override
        public boolean isOpen() {
            return !ended;
        }

        /** Says something of its own accord, whatever the network does meanwhile. */
        @Override
        public void write(byte[] message) throws IOException {
            synchronized (writing) {
                if (behindRest == null) {
                    socket.getOutputStream().write(message);
                } else {
                    behindRest.add(message);
                }
            }
        }

        /** Writes the rest of a message later; all that is written meanwhile comes behind it. */
        private void writeRest(byte[] rest, long afterMillis) {
            synchronized (writing) {
                behindRest = new ArrayList<>();
            }
            ends.schedule(() -> {
                synchronized (writing) {
                    List<byte[]> messages = behindRest;
                    behindRest = null;
                    writing.notifyAll();
                    messages.add(0, rest);
                    for (byte[] message : messages) {
                        socket.getOutputStream().write(message);
                    }
                }
                return null;
            }, afterMillis, TimeUnit.MILLISECONDS);
        }

        private void awaitRest() throws InterruptedException {
            synchronized (writing) {
                while (behindRest != null) {
                    writing.wait();
                }
            }
        }

        private synchronized void arrived(RtspMessage message, long atMicros) {
            String sent = message.fields().get(ArrivalLateness.SENT_FIELD);
            if (sent != null && !cut && !late && !unreachable && Long.parseLong(sent) > heldBackUntil) {
                lateness.noted(Long.parseLong(sent), atMicros);
            }
            if (message.method().equals("SETUP") && !ended) {
                open.add(new OpenAttempt(message.session(), this));
                record.add(atMicros, Event.Kind.ATTEMPT_BEGUN, name, message.session(), message.offer());
            } else if (message.method().equals("TEARDOWN")) {
                record.add(atMicros, Event.Kind.RELEASE_ARRIVED, name, message.session(), "");
            }
        }

        private void serve() {
            try (socket) {
                for (RtspMessage message = messages.take(); message != null; message = messages.take()) {
                    taken(message, this);
                }
                awaitRest();
                endAll("connection ended"); // Before its end can be read at the other side.
            } catch (IOException e) {
                return; // It has ended while something was written.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                endAll("connection ended");
                connections.remove(this);
            }
        }

        /** What is open on a connection is given up as it ends; what comes later has come to nobody. */
        private synchronized void endAll(String why) {
            ended = true;
            open.stream().filter(attempt -> attempt.connection() == this).forEach(attempt -> ended(attempt, why));
        }

        private void reset() throws IOException {
            endAll("connection reset");
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        private void close() throws IOException {
            endAll("connection closed");
            socket.close();
        }

        private void answer(byte[] message) throws IOException {
            try {
                awaitPath();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            write(message);
        }
    }

    private void taken(RtspMessage message, HostConnection connection) throws IOException {
        String session = message.session();
        connection.identify(message);
        switch (message.method()) {
            case "SETUP" -> setUp(new OpenAttempt(session, connection));
            case "TEARDOWN" -> cancel(session, connection);
            case "OPTIONS" -> connection.answer(RtspMessage.response(200, "3", session, "X-Occupancy: x0:0.1\r\n", EMPTY));
            case "RTSP/1.0" -> sessions.heard(session);
            default -> { }
        }
    }

    private void cancel(String session, HostConnection connection) throws IOException {
        synchronized (open) {
            open.stream().filter(attempt -> attempt.session().equals(session)).forEach(attempt -> ended(attempt, "cancelled"));
        }
        sessions.endedByGateway(session);
        if (acknowledgesCancels) {
            connection.answer(RtspMessage.response(200, "2", session, "", EMPTY));
        }
    }

    private void setUp(OpenAttempt attempt) throws IOException {
        taken.add(attempt);
        switch (mode) {
            case NORMAL -> serve(attempt, 1);
            case TWICE -> serve(attempt, 2);
            case LATE -> start(() -> serveLate(attempt));
            case SPOILT -> spoilOrServe(attempt);
            case SILENT -> { }
        }
    }

    private String description(String session) {
        return descriptions.answer(name, session);
    }

    private void serve(OpenAttempt attempt, int copies) throws IOException {
        if (answered(attempt, copies)) {
            endLater(attempt.session());
        }
    }

    /** Answers that the session stands, if the attempt is open still. */
    private boolean answered(OpenAttempt attempt, int copies) throws IOException {
        String session = attempt.session();
        synchronized (open) {
            taken.remove(attempt);
            if (!open.remove(attempt)) {
                return false;
            }
            record.add(Event.Kind.ATTEMPT_SERVED, name, session, description(session));
            record.add(Event.Kind.ATTEMPT_ENDED, name, session, "served");
            sessions.begun(session, attempt.connection());
        }
        byte[] answer = RtspMessage.response(200, "1", session, "", description(session).getBytes(StandardCharsets.ISO_8859_1));
        try {
            for (int i = 0; i < copies; i++) {
                attempt.connection().answer(answer);
            }
        } catch (IOException e) {
            sessions.unanswered(session);
            throw e;
        }
        return true;
    }

    private void endLater(String session) {
        SessionEnd end = sessionEnds.get();
        if (end != null && end.afterMillis() == 0) {
            end(session, end);
        } else if (end != null) {
            ends.schedule(() -> end(session, end), end.afterMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** A process that goes on sees to what was due meanwhile first, and then to what has come. */
    private void endDue() {
        for (Runnable end = dueEnds.poll(); end != null; end = dueEnds.poll()) {
            end.run();
        }
    }

    /** A process that hangs, or whose machine is cut off, ends nothing until that is over. */
    private void end(String session, SessionEnd end) {
        if (readDelayMillis == ArrivedMessages.HANGS) {
            dueEnds.add(() -> end(session, end));
            return;
        }
        if (cut) {
            ends.schedule(() -> end(session, end), RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (end.closesFirst() && sessions.pathOf(session) instanceof HostConnection connection) {
            try {
                connection.close();
            } catch (IOException e) {
                return; // It has ended already.
            }
        }
        sessions.end(session, end.cause());
    }

    /** Answers all set-ups that are open, that their sessions stand; they end only when all are answered. */
    public void serveOpen() throws IOException {
        List<String> served = new ArrayList<>();
        for (OpenAttempt attempt : open) {
            if (answered(attempt, 1)) {
                served.add(attempt.session());
            }
        }
        served.forEach(this::endLater);
    }

    private void serveLate(OpenAttempt attempt) {
        try {
            TimeUnit.MILLISECONDS.sleep(answerDelayMillis);
            serve(attempt, 1);
        } catch (IOException e) {
            return; // The connection has ended, and the attempt with it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void spoilOrServe(OpenAttempt attempt) throws IOException {
        SpoiltForm form = null;
        synchronized (chance) {
            if (chance.nextDouble() < spoiltShare) {
                form = spoiltForms.get(chance.nextInt(spoiltForms.size()));
            }
        }
        if (form == null) {
            serve(attempt, 1);
        } else {
            spoil(attempt, form);
        }
    }

    /** Nothing good was answered: the attempt is out until it is given up, or its connection ends. */
    private void spoil(OpenAttempt attempt, SpoiltForm form) throws IOException {
        taken.remove(attempt);
        String session = attempt.session();
        SpoiltForm.Spoilt spoilt;
        synchronized (chance) {
            spoilt = form.spoil(RtspMessage.responseHead(200, "1", session), description(session).getBytes(StandardCharsets.ISO_8859_1),
                chance);
        }
        record.add(Event.Kind.ANSWER_SPOILT, name, session, form.toString());
        HostConnection connection = attempt.connection();
        for (SpoiltForm.Part part : spoilt.parts()) {
            if (part.afterMillis() == 0) {
                connection.answer(part.bytes());
            } else {
                connection.writeRest(part.bytes(), part.afterMillis());
            }
        }
        if (spoilt.closes()) {
            connection.close();
        }
    }

    /** Nobody else finds it ended before that is in the record. */
    private boolean ended(OpenAttempt attempt, String why) {
        synchronized (open) {
            boolean was = open.remove(attempt);
            taken.remove(attempt);
            if (was) {
                record.add(Event.Kind.ATTEMPT_ENDED, name, attempt.session(), why);
            }
            return was;
        }
    }

    /** Resets all connections, as a process that dies does; new ones are taken. */
    public void resetConnections() throws IOException {
        for (HostConnection connection : connections) {
            connection.reset();
        }
    }

    /** Refuses all set-ups that are open, with an RTSP status. */
    public void refuseOpen(int status) {
        for (OpenAttempt attempt : taken) {
            if (ended(attempt, "refused")) {
                refuse(attempt, status);
            }
        }
    }

    private static void refuse(OpenAttempt attempt, int status) {
        try {
            attempt.connection().answer(RtspMessage.response(status, "1", attempt.session(), "", EMPTY));
        } catch (IOException e) {
            return; // The connection has ended, and the attempt with it.
        }
    }

    /** Records what stands here as a trial ends. */
    void recordStanding() {
        sessions.standing().forEach(session -> record.add(Event.Kind.SESSION_STANDS, name, session, ""));
    }

    /** Closes a connection on which sessions were set up and says their ends on others that are open. */
    public void closeOneAndEndItsSessions(int cause) throws IOException {
        List<String> standing = sessions.standing();
        if (!standing.isEmpty() && sessions.pathOf(standing.get(0)) instanceof HostConnection connection) {
            connection.close();
            standing.stream().filter(session -> sessions.pathOf(session) == connection)
                .forEach(session -> sessions.end(session, cause));
        }
    }

    /** Its process dies: connections are reset, new ones refused, and what stands is cut. */
    public void die() throws IOException {
        listener.close();
        resetConnections();
        sessions.allOver("its process died");
    }

    /** Its machine vanishes: nothing passes any more, and what stands is cut. */
    public void vanish() throws IOException {
        listener.unreachable(true);
        cut(true);
        sessions.allOver("its machine vanished");
    }

    /** Its address is free for another one; its connections stay as they are. */
    void leaveAddress() throws IOException {
        listener.close();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        ends.shutdownNow();
        for (HostConnection connection : connections) {
            connection.socket.close();
        }
    }
}
