package cypressvalve.session;

import static net.logstash.logback.argument.StructuredArguments.kv;

import cypressvalve.Control;
import cypressvalve.admission.Gate;
import cypressvalve.Gateway;
import cypressvalve.config.Service;
import cypressvalve.fleet.ListEntry;
import cypressvalve.fleet.ListFollower;
import cypressvalve.fleet.membership.AddressHolders;
import cypressvalve.host.Carried;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.model.Departure;
import cypressvalve.model.MediaHost;
import cypressvalve.model.Playback;
import cypressvalve.model.Settings;
import cypressvalve.model.SetupTry;
import cypressvalve.model.Verdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What every front shares: one loop, one Control, the playbacks from request to end, one answer each. It carries out
 * what Control decides and tells it what happened; docs/session.md has the table of both. All methods are called on
 * the loop unless they say otherwise.
 */
public final class SessionCore implements Gateway, HostClient.Notes {
    private static final Logger LOG = LoggerFactory.getLogger(SessionCore.class);
    /** How often silent viewers are looked for, and the loop's delay is measured. */
    private static final long SWEEP = 500_000_000L;
    /** Sessions that were handed over and are not confirmed, beside all others: this part of those. */
    private static final int UNCONFIRMED_PART = 2;
    /** A session that joins a stream is taken to ask for this part of its rate at least, whatever settings say. */
    private static final double LEAST_JOINED_SHARE = 0.05;
    /** Hosts that have gone and are still counted, a release of a large fleet. */
    private static final int MOST_GONE = 100;

    private final House house;
    private final Settings settings;
    private final Clock clock;
    private final Loop loop;
    private final HostClient client;
    private final CoreEvents events;
    private final Consumer<Throwable> onFailure;
    private final ListFollower follower;
    private final SessionIds ids;
    private final int mostSessions;
    private final HandOvers handOvers;
    private final Control control;
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    private final Map<String, Session> byKey = new HashMap<>();
    private final Map<String, Integer> byToken = new HashMap<>();
    private final Map<Long, MediaHost> hosts = new HashMap<>();
    private final Map<Long, HostAddress> addresses = new HashMap<>();
    private final AddressHolders holders = new AddressHolders();
    private final Map<SetupTry, HostClient.Call> calls = new HashMap<>();
    private final Map<Long, Integer> playingAt = new HashMap<>();
    /** What media hosts say of sessions that do not play here, or no longer. */
    private final SessionEnds ends = new SessionEnds();
    private final ArrayDeque<Runnable> after = new ArrayDeque<>();
    private final ArrayDeque<Runnable> inputs = new ArrayDeque<>();
    private boolean deciding;
    private boolean draining;
    private boolean closed;
    private Runnable whenEmpty;
    private Loop.Cancel wake;
    private long wakeTime;
    private Loop.Cancel sweep;
    private Loop.Cancel look;
    private final Gate gate;
    private final boolean pacing;

    /**
     * @param settings this gateway's own, made by {@link Service#control}
     * @param mostSessions playbacks held at once; further requests are rejected before any decision
     * @param admission bounds on requests that wait for an answer
     * @param onFailure told once if the decisions fail; the core then serves nothing any more
     */
    public SessionCore(Service service, Settings settings, long seed, Clock clock, Loop loop, HostClient client,
        ListFollower follower, int mostSessions, Gate.Limits admission, CoreEvents events,
        Consumer<Throwable> onFailure) {
        this(House.of(service, settings), settings, seed, clock, loop, client, follower, mostSessions, admission, events,
            onFailure);
    }

    /** The same for any house. */
    public SessionCore(House house, Settings settings, long seed, Clock clock, Loop loop, HostClient client,
        ListFollower follower, int mostSessions, Gate.Limits admission, CoreEvents events,
        Consumer<Throwable> onFailure) {
        this.house = house;
        this.settings = settings;
        this.clock = clock;
        this.loop = loop;
        this.client = client;
        this.follower = follower;
        this.mostSessions = mostSessions;
        handOvers = new HandOvers(mostSessions / UNCONFIRMED_PART, session -> ended(session, Session.End.HOST_LOST, Verdict.WITHDRAWN));
        this.events = events;
        this.onFailure = onFailure;
        ids = new SessionIds(settings.me);
        gate = new Gate(admission, house.shares(), clock.now());
        // Where no lateness counts, as in simulated time, nothing has to be looked at.
        pacing = admission.late() < Long.MAX_VALUE / 2;
        control = new Control(settings, seed, clock.now(), this);
    }

    /** Begins to look after timers; called once, on the loop. */
    public void start() {
        input(() -> { });
        sweepLater(clock.now());
        if (pacing) {
            lookLater(clock.now());
        }
    }

    /** What requests to watch go through before they are decided on. */
    public Gate gate() {
        return gate;
    }

    public Clock clock() {
        return clock;
    }

    /** Whether it serves: not draining, not failed. */
    public boolean healthy() {
        return !closed && !draining;
    }

    /** Sessions held, by state. */
    public long held(Session.State state) {
        return sessions.values().stream().filter(s -> s.state == state).count();
    }

    /** Media hosts known, by state. */
    public long hosts(MediaHost.State state) {
        return hosts.values().stream().filter(h -> h.state == state).count();
    }

    /** The session of that id, or null if it is over or was never here. */
    public Session session(String id) {
        return sessions.get(id);
    }

    /** Whether the list names that media host as one that may be sent something new. */
    public boolean serving(long host) {
        MediaHost known = hosts.get(host);
        return known != null && known.state == MediaHost.State.ACTIVE;
    }

    /** Whether that id was made by this gateway. */
    public boolean mine(String id) {
        return ids.mine(id);
    }

    /**
     * A viewer asks to watch. If the same viewer's playback is open or plays already this request joins it: it gets
     * the same answer, and no second set-up goes out.
     *
     * @return the session that the request now belongs to, null if it was answered at once
     */
    public Session ask(Ask ask, Answer answer) {
        Session joined = ask.key() == null ? null : byKey.get(ask.key());
        if (joined != null) {
            joined.lastSeen = clock.now();
            if (joined.state == Session.State.PLAYING) {
                answer.playing(joined);
            } else {
                joined.waiting.add(answer);
                long patience = Math.max(0, ask.patience() - gate.unread(clock.now()));
                // Rule 1 holds for each request: the least patient of those that wait sets the time.
                input(() -> joined.playback.abandonAt = Math.min(joined.playback.abandonAt, now() + patience));
            }
            return joined;
        }
        if (closed || draining || isFull()) {
            events.answered("rejected", ask.plan(), 0);
            answer.rejected(0);
            return null;
        }
        if (ask.grant() != null && byToken.getOrDefault(ask.grant().token(), 0) >= ask.grant().atOnce()) {
            // One of the others may have been left without a word: by then that is known.
            events.answered("rejected", ask.plan(), 0);
            answer.rejected(house.silence());
            return null;
        }
        Gate.Refusal refusal = gate.ask(tenant(ask), clock.now());
        if (refusal != null) {
            events.refused(refusal, ask.tenant());
            events.answered("rejected", ask.plan(), 0);
            answer.rejected(gate.comeBackIn(clock.now()));
            return null;
        }
        Playback pb = playback(ask.offer() != null ? ask.offer().id() : ids.next(), ask);
        long patience = Math.max(0, ask.patience() - gate.unread(clock.now()));
        Session session = new Session(ask, pb);
        session.waiting.add(answer);
        session.lastSeen = clock.now();
        keep(session);
        input(() -> {
            pb.arrivedAt = now();
            pb.abandonAt = pb.arrivedAt + patience;
            pb.waitUntil = pb.arrivedAt;
            control.requested(pb);
        });
        return session;
    }

    private boolean isFull() {
        return sessions.size() - handOvers.unconfirmed() >= mostSessions;
    }

    private int tenant(Ask ask) {
        return settings.tenants.getOrDefault(ask.tenant(), -1);
    }

    private Playback playback(String id, Ask ask) {
        Playback pb = new Playback(id);
        pb.plan = settings.plansByName.get(ask.plan());
        pb.title = house.title(ask);
        pb.tenant = tenant(ask);
        pb.ceiling = ask.ceiling();
        pb.hint = ask.hint();
        return pb;
    }

    /** A waiting request's viewer hung up; when nobody waits for the playback any more it is over. */
    public void hungUp(Session session, Answer answer) {
        if (session.waiting.remove(answer) && session.waiting.isEmpty() && session.state == Session.State.OPENING) {
            events.answered("left", session.ask().plan(), clock.now() - session.playback.arrivedAt);
            over(session, Session.End.LEFT);
        }
    }

    /** The viewer was heard of. */
    public void seen(Session session) {
        session.lastSeen = clock.now();
    }

    /** The playback's token was renewed: it ends then unless it is renewed again. */
    public void renewed(Session session, long endsAt) {
        session.endsAt = endsAt;
    }

    /** Sessions held by a token, set-ups included. */
    public int heldBy(String token) {
        return byToken.getOrDefault(token, 0);
    }

    /** The viewer ends its session: seat and place are free at once. */
    public void end(Session session) {
        over(session, Session.End.LEFT);
    }

    private void over(Session session, Session.End end) {
        if (session.state == Session.State.PLAYING) {
            client.release(session.host, session.hostSession());
            ended(session, end, Verdict.OK);
        } else if (session.state == Session.State.OPENING) {
            session.end = end;
            session.state = Session.State.ENDED;
            gate.closed(tenant(session.ask()));
            drop(session);
            input(() -> {
                control.over(session.playback);
                SetupTry last = session.playback.lastTry();
                if (last != null && calls.containsKey(last)) {
                    calls.get(last).withdraw();
                }
            });
        }
    }

    /** A playing session is over, once: the module hears of it, the front finds it gone. What the host is told may bring the end by itself. */
    private void ended(Session session, Session.End end, Verdict verdict) {
        if (session.state != Session.State.PLAYING) {
            return;
        }
        SetupTry last = session.playback.lastTry();
        session.end = end;
        session.state = Session.State.ENDED;
        ends.keep(session.host, session.id(), end == Session.End.LEFT ? Verdict.WITHDRAWN : verdict, clock.now());
        drop(session);
        boolean counted = endClaim(session);
        unfollow(last.host);
        events.ended(end);
        if (session.watching != null) {
            after.add(() -> session.watching.ended(session));
        }
        LOG.info("session over {} {} {}", kv("playback", session.id()), kv("host", last.host.id), kv("end", end));
        input(() -> {
            if (counted) {
                control.cameBack(last, verdict, true, Double.NaN, Double.NaN);
            }
        });
    }

    private void keep(Session session) {
        sessions.put(session.id(), session);
        if (session.ask().key() != null) {
            byKey.put(session.ask().key(), session);
        }
        if (session.ask().grant() != null) {
            byToken.merge(session.ask().grant().token(), 1, Integer::sum);
        }
    }

    private void drop(Session session) {
        if (sessions.remove(session.id()) != null && session.ask().grant() != null) {
            byToken.computeIfPresent(session.ask().grant().token(), (token, held) -> held == 1 ? null : held - 1);
        }
        if (session.ask().key() != null) {
            byKey.remove(session.ask().key(), session);
        }
        if (sessions.isEmpty() && whenEmpty != null) {
            loop.execute(whenEmpty);
            whenEmpty = null;
        }
    }

    /**
     * Takes nothing new, ends what plays where the house wants that, lets what is open get its answer; runs the task
     * once nothing is left.
     */
    public void drain(Runnable done) {
        draining = true;
        whenEmpty = done;
        List.copyOf(sessions.values()).stream().filter(s -> s.state == Session.State.PLAYING && house.drainEnds())
            .forEach(s -> over(s, Session.End.DRAINED));
        if (sessions.isEmpty() && whenEmpty != null) {
            loop.execute(whenEmpty);
            whenEmpty = null;
        }
    }

    /** Whoever waits for an answer gets it by that time: this process may be ended soon after. */
    public void answerBy(long time) {
        input(() -> sessions.values().stream().filter(s -> s.state == Session.State.OPENING)
            .forEach(s -> s.playback.abandonAt = Math.min(s.playback.abandonAt, time)));
    }

    /** Whoever waits for this session's answer gets it at once, as if its time were up. */
    public void answerNow(Session session) {
        if (session.state == Session.State.OPENING) {
            input(() -> session.playback.abandonAt = Math.min(session.playback.abandonAt, now()));
        }
    }

    /** A list of media hosts came: all of them, or what has changed. */
    public void listed(Collection<ListEntry> entries, boolean whole) {
        input(() -> {
            List<MediaHost> named = new ArrayList<>(entries.size());
            for (ListEntry entry : entries) {
                HostAddress before = addresses.put(entry.address().id(), entry.address());
                MediaHost host = hosts.computeIfAbsent(entry.address().id(), MediaHost::new);
                if (before != null && (!before.equals(entry.address()) || entry.startedAt() > host.startedAt)) {
                    cut(host, entry.startedAt(), !before.equals(entry.address()));
                }
                holders.named(entry.address(), entry.startedAt(), !entry.address().equals(before));
                host.state = entry.state();
                host.rating = entry.weight();
                host.startedAt = entry.startedAt();
                host.cell = entry.cell();
                host.kind = entry.kind();
                host.zone = entry.zone();
                host.link = Math.max(1, host.rating * settings.linkPerRating);
                host.places = settings.places.getOrDefault(host.kind, 1.0);
                named.add(host);
            }
            addresses.values().stream().filter(address -> !holders.holds(address))
                .forEach(address -> hosts.get(address.id()).state = MediaHost.State.GONE);
            control.listed(named, whole);
            addresses.forEach((id, address) -> {
                MediaHost.State state = hosts.get(id).state;
                if (state != MediaHost.State.ACTIVE) {
                    client.cancelUnsent(address);
                }
                client.gone(address, state == MediaHost.State.GONE);
            });
            // Replaced hosts come under new ids for ever: those that are gone are told of, but not without end.
            if (hosts(MediaHost.State.GONE) > MOST_GONE) {
                hosts.values().removeIf(h -> h.state == MediaHost.State.GONE && !h.carries());
                addresses.keySet().retainAll(hosts.keySet());
                holders.keep(hosts.keySet());
            }
        });
    }

    /** Guards against sessions of a process that has died unseen: what began before a host's start does not play there. */
    private void cut(MediaHost host, long startedAt, boolean moved) {
        List.copyOf(sessions.values()).stream().filter(s -> s.state == Session.State.PLAYING && s.host.id() == host.id
            && (moved || s.playback.playingSince < startedAt)).forEach(s -> ended(s, Session.End.HOST_LOST, Verdict.BROKEN));
    }

    /** The source of the list failed to answer. */
    public void listFailed() {
        input(control::listFailed);
    }

    /** Asks all hosts that run what they carry for this gateway and takes it up, once, at the start. */
    public void takeUp() {
        for (MediaHost host : hosts.values()) {
            if (host.state == MediaHost.State.ACTIVE) {
                HostAddress address = addresses.get(host.id);
                client.carried(address, all -> all.forEach(c -> takeUp(host, address, c)));
            }
        }
    }

    /** A session that a host carries is this gateway's again; one that it can't make sense of is ended there. */
    private void takeUp(MediaHost host, HostAddress address, Carried carried) {
        int dot = carried.name().lastIndexOf('.');
        String id = dot < 0 ? "" : carried.name().substring(0, dot);
        Ask ask = Ask.from(carried.about(), carried.title(), carried.plan());
        if (ask == null || !ids.mine(id) || sessions.containsKey(id) || isFull()
            || house.title(ask) == null || !settings.plansByName.containsKey(ask.plan())
            || ask.key() != null && byKey.containsKey(ask.key())) {
            client.release(address, carried.name());
            return;
        }
        Session session = standing(id, ask, host, carried.name());
        keepStanding(session, host, true);
        input(() -> control.rungTold(session.playback.lastTry(), carried.rung()));
    }

    private Session standing(String id, Ask ask, MediaHost host, String name) {
        Session session = new Session(ask, playback(id, ask));
        session.state = Session.State.PLAYING;
        session.host = addresses.get(host.id);
        session.hostName = name;
        session.begunAt = System.nanoTime();
        session.lastSeen = clock.now();
        return session;
    }

    private void keepStanding(Session session, MediaHost host, boolean counts) {
        keep(session);
        LOG.info("taken up {} {}", kv("playback", session.id()), kv("host", host.id));
        if (counts) {
            count(session, host);
        } else {
            session.playback.tries.add(new SetupTry(session.playback, host, 0, clock.now()));
            holdSeat(session);
        }
        follow(host);
    }

    private void count(Session session, MediaHost host) {
        input(() -> {
            session.playback.tries.clear();
            session.playback.playing = false;
            session.playback.arrivedAt = session.playback.abandonAt = now();
            control.handedOver(session.playback, host);
        });
    }

    /** A session that counts in no other decision takes its seat all the same: it may stand. */
    private static void holdSeat(Session session) {
        session.playback.title.taken(session.playback.plan, 1);
    }

    private static void freeSeat(Session session) {
        session.playback.title.taken(session.playback.plan, -1);
    }

    /**
     * A session that plays at that host already becomes this gateway's.
     *
     * @param source where it is handed over from
     * @param watching told of its end alone
     * @return null if the host is not known or has gone, or as many are held as may be
     */
    public Session handOver(Ask ask, long hostId, HandOverSource source, Answer watching) {
        MediaHost host = hosts.get(hostId);
        if (closed || host == null || host.state == MediaHost.State.GONE || isFull()) {
            return null;
        }
        String id = ask.offer().id();
        Session session = standing(id, ask, host, id + ".0");
        session.claim = handOvers.claim(session, host, source, leastKb(session.playback), clock.now());
        if (session.claim == null) {
            return null;
        }
        keepStanding(session, host, session.claim.counted());
        session.watching = watching;
        endIfSaidBefore(session, id);
        return session;
    }

    private double leastKb(Playback playback) {
        double share = playback.plan.live ? Math.max(LEAST_JOINED_SHARE, settings.joinShare) : 1;
        return playback.plan.rates[playback.plan.floor] * share;
    }

    /** Its media host has said something of it: it stands there, whoever handed it over. */
    private void confirm(Session session) {
        if (session.claim != null && !endClaim(session)) {
            count(session, session.playback.lastTry().host);
        }
    }

    /** Whether the session counted in the decisions. */
    private boolean endClaim(Session session) {
        HandOvers.Claim claim = session.claim;
        if (claim == null) {
            return true;
        }
        boolean counted = claim.counted();
        session.claim = null;
        handOvers.over(claim); // It counts no more by that.
        if (!counted) {
            freeSeat(session);
        }
        return counted;
    }

    /** What a media host reports of its link speaks against sessions that are said to stand there. */
    private void doubt(MediaHost host, LoadReport report) {
        for (Session session : handOvers.contradicted(host, report.link(), clock.now())) {
            input(() -> control.cameBack(session.playback.lastTry(), Verdict.WITHDRAWN, true, Double.NaN, Double.NaN));
            holdSeat(session);
        }
    }

    // What media hosts tell.

    private Session at(long host, String name) {
        int dot = name.lastIndexOf('.');
        Session session = sessions.get(dot < 0 ? name : name.substring(0, dot));
        return session != null && session.state == Session.State.PLAYING && isAt(session, host)
            && (dot < 0 || session.hostSession().equals(name)) ? session : null;
    }

    /** Whether it plays at that host, or at another that has its address by now: that one speaks on connections of both. */
    private boolean isAt(Session session, long host) {
        HostAddress address = addresses.get(host);
        return session.host.id() == host || address != null && address.host().equals(session.host.host())
            && address.port() == session.host.port();
    }

    /** Where the last word of a session goes that is asked for at that host and whose answer is not read; null if there is none. */
    private EarlyNotes early(long host, String name) {
        Session session = sessions.get(name);
        SetupTry last = session == null || session.state != Session.State.OPENING ? null : session.playback.lastTry();
        if (last == null || last.host.id != host) {
            return null;
        }
        if (session.earlyNotes == null || session.earlyNotes.host != host) {
            session.earlyNotes = new EarlyNotes(host);
        }
        return session.earlyNotes;
    }

    @Override
    public void rung(long host, String name, int rung) {
        Session session = at(host, name);
        EarlyNotes early = early(host, name);
        if (session != null) {
            confirm(session);
            input(() -> control.rungTold(session.playback.lastTry(), rung));
        } else if (early != null) {
            early.rung = rung;
        }
    }

    @Override
    public void delivered(long host, String name, double share) {
        Session session = at(host, name);
        EarlyNotes early = early(host, name);
        if (session != null) {
            confirm(session);
            input(() -> control.delivered(session.playback.lastTry(), share));
        } else if (early != null) {
            early.delivered = share;
        }
    }

    @Override
    public void load(long host, String name, LoadReport report) {
        Session session = at(host, name);
        EarlyNotes early = early(host, name);
        if (session != null) {
            confirm(session);
            input(() -> control.loadTold(session.playback.lastTry(), report.link(), report.uplink()));
            doubt(session.playback.lastTry().host, report);
        } else if (early != null) {
            early.load = report;
        }
    }

    /** What was read before the answer of a session that plays now. */
    private void takeEarlyNotes(Session session, SetupTry setupTry) {
        EarlyNotes early = session.earlyNotes;
        session.earlyNotes = null;
        if (early == null || early.host != setupTry.host.id) {
            return;
        }
        if (early.rung != null) {
            input(() -> control.rungTold(setupTry, early.rung));
        }
        if (!Double.isNaN(early.delivered)) {
            input(() -> control.delivered(setupTry, early.delivered));
        }
        if (early.load != null) {
            input(() -> control.loadTold(setupTry, early.load.link(), early.load.uplink()));
        }
    }

    @Override
    public HostClient.EndEffect ended(long host, String name, Verdict verdict) {
        Session session = at(host, name);
        if (session == null) {
            HostAddress address = addresses.get(host);
            if (address != null) {
                ends.keep(address, name, verdict, clock.now());
            }
            return HostClient.EndEffect.KEPT;
        }
        ended(session, endOf(verdict), verdict);
        return HostClient.EndEffect.ENDED;
    }

    private static Session.End endOf(Verdict verdict) {
        return switch (verdict) {
            case OK -> Session.End.SILENT;
            case WITHDRAWN -> Session.End.LEFT;
            default -> Session.End.HOST_LOST;
        };
    }

    /** The media host's word of the end was read before the session was known to play. */
    private void endIfSaidBefore(Session session, String name) {
        Verdict verdict = ends.of(session.host, name);
        if (verdict != null && session.state == Session.State.PLAYING) {
            ended(session, endOf(verdict), verdict);
        }
    }

    @Override
    public void carried(long host, Set<String> names, long askedAt) {
        List.copyOf(sessions.values()).stream().filter(s -> s.state == Session.State.PLAYING && s.host.id() == host
            && s.begunAt < askedAt && !names.contains(s.hostSession()))
            .forEach(s -> ended(s, Session.End.HOST_LOST, Verdict.BROKEN));
    }

    /** What played there is ended there, too, if the host is reached: it may only have been out of reach, or another have its address. */
    @Override
    public void lost(long host) {
        endLost(host, session -> true);
    }

    /** What was handed over and not confirmed counts as what was there before. */
    @Override
    public void replaced(long host, long boundary) {
        endLost(host, session -> session.begunAt < boundary || session.claim != null);
    }

    @Override
    public long begunAt(long host, String name) {
        Session session = at(host, name);
        return session == null ? Long.MAX_VALUE : session.begunAt;
    }

    private void endLost(long host, Predicate<Session> which) {
        List<Session> lost = sessions.values().stream()
            .filter(session -> session.state == Session.State.PLAYING && session.host.id() == host && which.test(session)).toList();
        lost.forEach(session -> client.release(session.host, session.hostSession()));
        lost.forEach(session -> ended(session, Session.End.HOST_LOST, Verdict.BROKEN));
    }

    private void follow(MediaHost host) {
        if (playingAt.merge(host.id, 1, Integer::sum) == 1 && addresses.containsKey(host.id)) {
            client.follow(addresses.get(host.id), true);
        }
    }

    private void unfollow(MediaHost host) {
        if (playingAt.merge(host.id, -1, Integer::sum) == 0) {
            playingAt.remove(host.id);
            if (addresses.containsKey(host.id)) {
                client.follow(addresses.get(host.id), false);
            }
        }
    }

    // What Control decides.

    @Override
    public void setUp(Playback pb, MediaHost host, long maxWait) {
        SetupTry setupTry = pb.lastTry();
        Session session = sessions.get(pb.id);
        SetUpOrder order = new SetUpOrder(pb.id, setupTry.number, pb.title.key, session.ask().plan(), pb.rung, maxWait,
            session.ask().about(), session.ask().offer() == null ? null : session.ask().offer().description());
        HostAddress address = addresses.get(host.id);
        ends.forget(address, pb.id);
        session.earlyNotes = null;
        LOG.debug("set-up {} {} {} {}", kv("playback", pb.id), kv("try", setupTry.number), kv("host", host.id),
            kv("rung", pb.rung));
        calls.put(setupTry, client.setUp(address, order, new HostClient.SetUpResult() {
            @Override
            public void started(LoadReport report) {
                started(report, null);
            }

            @Override
            public void started(LoadReport report, byte[] description) {
                session.description = description;
                input(() -> begun(session, setupTry, address, report));
            }

            @Override
            public void givenUp(Verdict verdict) {
                input(() -> control.givenUp(setupTry, verdict));
            }

            @Override
            public void cameBack(Verdict verdict, LoadReport report) {
                input(() -> back(setupTry, verdict, report));
            }
        }));
    }

    private void begun(Session session, SetupTry setupTry, HostAddress address, LoadReport report) {
        calls.remove(setupTry);
        events.tried(Verdict.OK, now() - setupTry.sentAt);
        if (session.state != Session.State.OPENING) {
            client.release(address, Session.name(session.playback));
            control.cameBack(setupTry, Verdict.WITHDRAWN, true, report.link(), report.uplink());
            return;
        }
        session.state = Session.State.PLAYING;
        gate.closed(tenant(session.ask()));
        session.host = address;
        session.hostName = Session.name(session.playback);
        session.begunAt = System.nanoTime();
        session.lastSeen = now();
        session.watching = session.waiting.isEmpty() ? null : session.waiting.get(0);
        control.started(setupTry);
        if (!Double.isNaN(report.link()) || !Double.isNaN(report.uplink())) {
            control.loadTold(setupTry, report.link(), report.uplink());
        }
        answer(session, "playing", a -> a.playing(session));
        after.add(() -> session.description = null);
        session.forgetOffered();
        takeEarlyNotes(session, setupTry);
        follow(setupTry.host); // It may tell at once that the host is lost: the answer goes first.
        if (ends.of(address, session.id()) != null && triesAt(setupTry.host, session) > 1) {
            client.release(address, session.hostName); // It may be the end of an earlier try there: then this one stands still.
        }
        endIfSaidBefore(session, session.id());
        endIfSaidBefore(session, session.hostName);
        if (session.state == Session.State.PLAYING && isReplaced(setupTry, address)) {
            ended(session, Session.End.HOST_LOST, Verdict.BROKEN);
        }
    }

    /** Whether the list has said meanwhile that the process of that try has gone: its last words may be read after that. */
    private boolean isReplaced(SetupTry setupTry, HostAddress address) {
        return !address.equals(addresses.get(setupTry.host.id)) || setupTry.sentAt < setupTry.host.startedAt;
    }

    private static long triesAt(MediaHost host, Session session) {
        return session.playback.tries.stream().filter(setupTry -> setupTry.host == host).count();
    }

    private void back(SetupTry setupTry, Verdict verdict, LoadReport report) {
        calls.remove(setupTry);
        events.tried(verdict, now() - setupTry.sentAt);
        LOG.info("try came back {} {} {} {} {}", kv("playback", setupTry.playback.id), kv("try", setupTry.number),
            kv("host", setupTry.host.id), kv("verdict", verdict), kv("ms", (now() - setupTry.sentAt) / 1_000_000));
        control.cameBack(setupTry, verdict, setupTry.playback.answered, report.link(), report.uplink());
    }

    /** Answers all that wait, after the module is done with its input. */
    private void answer(Session session, String outcome, Consumer<Answer> how) {
        long took = now() - session.playback.arrivedAt;
        events.answered(outcome, session.ask().plan(), took);
        LOG.info("answered {} {} {} {} {}", kv("playback", session.id()), kv("outcome", outcome),
            kv("title", session.ask().title()), kv("tries", session.playback.tries.size()), kv("ms", took / 1_000_000));
        List<Answer> all = List.copyOf(session.waiting);
        session.waiting.clear();
        after.add(() -> all.forEach(how));
    }

    @Override
    public void setRung(Playback pb, int rung) {
        Session session = sessions.get(pb.id);
        if (session != null && pb.onHost()) {
            client.setRung(addresses.get(pb.lastTry().host.id), session.hostSession(), rung);
            events.rungStep(rung);
        }
    }

    @Override
    public void reject(Playback pb, long comeBackIn) {
        long in = gate.paced() ? Math.max(comeBackIn, gate.comeBackIn(now())) : comeBackIn;
        unserved(pb, Session.End.REJECTED, "rejected", a -> a.rejected(in));
    }

    @Override
    public void fail(Playback pb) {
        unserved(pb, Session.End.FAILED, "failed", Answer::failed);
    }

    private void unserved(Playback pb, Session.End end, String outcome, Consumer<Answer> how) {
        Session session = sessions.get(pb.id);
        if (session != null) {
            session.state = Session.State.ENDED;
            session.end = end;
            gate.closed(tenant(session.ask()));
            drop(session);
            answer(session, outcome, how);
        }
    }

    @Override
    public void withdraw(SetupTry setupTry) {
        HostClient.Call call = calls.get(setupTry);
        if (call != null) {
            call.withdraw();
        }
    }

    @Override
    public void move(Playback pb) {
        Session session = sessions.get(pb.id);
        if (session != null && session.state == Session.State.PLAYING) {
            after.add(() -> {
                client.move(session.host, session.hostSession());
                ended(session, Session.End.MOVED, Verdict.WITHDRAWN);
            });
        }
    }

    @Override
    public void probe(MediaHost host) {
        client.probe(addresses.get(host.id), (verdict, report) -> {
            input(() -> control.probed(host, verdict, report.link(), report.uplink()));
            doubt(host, report);
        });
    }

    @Override
    public void release(MediaHost host) {
        client.freeLinks(addresses.get(host.id));
    }

    @Override
    public void wakeAt(long time) {
        if (wake != null) {
            wake.cancel();
        }
        wakeTime = time;
        wake = loop.executeAfter(() -> {
            wake = null;
            if (clock.now() < wakeTime) {
                wakeAt(wakeTime);
            } else {
                input(() -> { });
            }
        }, time - now());
    }

    @Override
    public void tell(int gateway, byte[] data) {
        throw new UnsupportedOperationException("gateways share nothing here, and no rule of Control tells");
    }

    @Override
    public void followList(boolean on) {
        follower.follow(on);
    }

    @Override
    public void fetchList() {
        follower.fetch();
    }

    @Override
    public void departed(Departure what) {
        events.departed(what);
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    private long now;

    private long now() {
        return deciding ? now : clock.now();
    }

    /**
     * One input of Control and the rules after it. Answers go out when the rules are done, as a front may hand in
     * the next request at once. A failure of the decisions closes this gateway: it never half-serves.
     */
    private void input(Runnable what) {
        inputs.add(what);
        if (deciding || closed) {
            return;
        }
        while (!inputs.isEmpty() && !closed) {
            deciding = true;
            try {
                now = clock.now();
                control.at(now);
                inputs.poll().run();
                control.settle();
            } catch (RuntimeException | StackOverflowError e) {
                failed(e);
            } finally {
                deciding = false;
            }
        }
        while (!after.isEmpty() && !deciding) {
            after.poll().run();
        }
    }

    private void failed(Throwable cause) {
        closed = true;
        LOG.error("decisions failed; this gateway closes", cause);
        for (Session session : List.copyOf(sessions.values())) {
            if (session.state == Session.State.PLAYING) {
                client.release(session.host, session.hostSession());
            }
            session.state = Session.State.ENDED;
            session.end = Session.End.FAILED;
            answer(session, "failed", Answer::failed);
            drop(session);
        }
        calls.values().forEach(HostClient.Call::withdraw);
        after.add(() -> onFailure.accept(cause));
    }

    /** Stops at once, with no word to anybody: what a killed process would do. */
    public void close() {
        closed = true;
        if (wake != null) {
            wake.cancel();
        }
        if (sweep != null) {
            sweep.cancel();
        }
        if (look != null) {
            look.cancel();
        }
    }

    /** How often the loop's lateness is looked at: a small part of what would hurt a startup target. */
    private static final long LOOK = 25_000_000L;

    private void lookLater(long since) {
        look = loop.executeAfter(() -> {
            if (!closed) {
                long at = clock.now();
                gate.looked(at, Math.max(0, at - since - LOOK));
                lookLater(clock.now());
            }
        }, LOOK);
    }

    private void sweepLater(long due) {
        sweep = loop.executeAfter(() -> {
            if (closed) {
                return;
            }
            long at = clock.now();
            events.loopDelay(Math.max(0, at - due - SWEEP));
            List.copyOf(sessions.values()).stream().filter(s -> s.state == Session.State.PLAYING && at > s.endsAt)
                .forEach(s -> over(s, Session.End.EXPIRED));
            List.copyOf(sessions.values()).stream().filter(s -> s.state == Session.State.PLAYING
                && at - s.lastSeen > house.silence()).forEach(s -> over(s, Session.End.SILENT));
            sweepLater(clock.now());
        }, SWEEP);
    }
}
