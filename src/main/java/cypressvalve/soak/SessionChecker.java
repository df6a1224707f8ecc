package cypressvalve.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges from a record alone whether the client of each session that stood was told of its end in time: within 1 s of the media
 * host's release, and within 8 s of the end where none could be sent or no client was connected, with the protocol's slack. A
 * process that was killed owes nothing any more; one that was handed a session does from 0.2 s later on. Reads no clock.
 */
final class SessionChecker {
    /** From a media host's release to the one towards the client. */
    private static final long RELEASED_WITHIN_MICROS = 1_000_000 + 50_000;
    /** From an end that could not be said. */
    private static final long OVER_WITHIN_MICROS = 8_000_000 + 50_000;
    /** A session that was handed over counts so much later. */
    private static final long HANDED_OVER_MICROS = 200_000;
    /** Of a release: the client has ended the session, and is owed nothing. */
    private static final String ENDED_BY_CLIENT = "31";
    private static final long NEVER = Long.MAX_VALUE / 2;

    private static final Set<Event.Kind> CONNECTIONS = Set.of(Event.Kind.CLIENT_CONNECTED, Event.Kind.CLIENT_LEFT,
        Event.Kind.CONNECTION_ENDED);

    private final List<Event> events;
    private final Map<String, List<Event>> byRequest = new TreeMap<>();
    /** The process at the other end of each client connection. */
    private final Map<String, String> processes = new HashMap<>();
    /** When each process was killed, or ended. */
    private final Map<String, Long> processEnds = new HashMap<>();
    /** What happened to each process's connections with clients. */
    private final Map<String, List<Event>> connections = new HashMap<>();

    /** @param events in order of time */
    SessionChecker(List<Event> events) {
        this.events = events;
        for (Event event : events) {
            if (!event.request().isEmpty()) {
                byRequest.computeIfAbsent(event.request(), request -> new ArrayList<>()).add(event);
            }
            if (event.kind() == Event.Kind.PROCESS_ENDED || event.kind() == Event.Kind.SIGNAL && event.detail().equals("KILL")) {
                processEnds.putIfAbsent(event.party(), event.atMicros());
            }
            if (CONNECTIONS.contains(event.kind())) {
                processes.putIfAbsent(event.party(), event.detail());
                connections.computeIfAbsent(event.detail(), process -> new ArrayList<>()).add(event);
            }
        }
    }

    /** A session whose client was not told in time: what it was owed, and when. */
    record Untold(String request, String process, long overMicros, long dueMicros, List<Event> story) { }

    /** Who answers for a session, and from when on. */
    private record Duty(String process, long fromMicros, boolean handedOver) { }

    /** What counts as told later than it was said lies beyond it. */
    private long recordEnd() {
        return events.stream().filter(event -> event.kind() != Event.Kind.DRAIN_TOLD).mapToLong(Event::atMicros).max().orElse(0);
    }

    /** The sessions whose ends were told too late, or not at all though their time is up. */
    List<Untold> late() {
        long end = recordEnd();
        return owed().stream().filter(owed -> toldAt(owed.story()) > owed.dueMicros() && owed.dueMicros() < end).toList();
    }

    /** The sessions whose ends are owed and were not told so far. */
    List<Untold> open() {
        return owed().stream().filter(owed -> toldAt(owed.story()) == NEVER).toList();
    }

    /** The sessions that stand at media hosts as the record ends, though they have been over for their clients, or none of theirs, for long. */
    List<Untold> leftStanding() {
        long end = recordEnd();
        List<Untold> left = new ArrayList<>();
        byRequest.forEach((request, story) -> {
            boolean killed = duties(story).stream().anyMatch(duty -> endOf(duty.process()) != NEVER);
            long over = story.stream().filter(e -> e.kind() == Event.Kind.SESSION_STANDS).mapToLong(e -> overAt(e.party(), story)).min().orElse(NEVER);
            if (!killed && over < end - OVER_WITHIN_MICROS) {
                left.add(new Untold(request, "", over, over + OVER_WITHIN_MICROS, story));
            }
        });
        return left;
    }

    /** Since when what stands at that host is over for its client; where the client plays from another host, or was not served, since it was told so. */
    private static long overAt(String host, List<Event> story) {
        Optional<Event> answer = first(story, Event.Kind.ANSWER_SERVED);
        if (answer.isPresent() && !hostOf(answer.get(), story).equals(host)) {
            return answer.get().atMicros();
        }
        if (answer.isPresent()) {
            return Math.min(toldAt(story), endedByClientAt(story));
        }
        return story.stream().filter(e -> e.kind() == Event.Kind.ANSWER_REFUSED || endsSession(e)) // An answer may cross one that leaves.
            .mapToLong(Event::atMicros).min().orElse(NEVER);
    }

    /** How many ends were owed. */
    int judged() {
        return owed().size();
    }

    private List<Untold> owed() {
        List<Untold> owed = new ArrayList<>();
        byRequest.forEach((request, story) -> owed(request, story).ifPresent(owed::add));
        return owed;
    }

    private Optional<Untold> owed(String request, List<Event> story) {
        Optional<Event> answer = first(story, Event.Kind.ANSWER_SERVED);
        if (answer.isEmpty()) {
            return Optional.empty();
        }
        String host = hostOf(answer.get(), story);
        long servedAt = story.stream().filter(e -> e.kind() == Event.Kind.ATTEMPT_SERVED && e.party().equals(host)
            && e.atMicros() <= answer.get().atMicros()).mapToLong(Event::atMicros).max().orElse(0);
        List<Event> ends = story.stream().filter(e -> e.party().equals(host) && e.atMicros() >= servedAt // Others end attempts before.
            && (e.kind() == Event.Kind.SESSION_RELEASED || e.kind() == Event.Kind.SESSION_OVER)).toList();
        if (ends.isEmpty() || ends.get(0).detail().equals(ENDED_BY_CLIENT)) {
            return Optional.empty();
        }
        for (Duty duty : duties(story)) {
            long due = due(ends, duty);
            if (due < endOf(duty.process())) {
                boolean byClient = endedByClientAt(story) <= due;
                return byClient ? Optional.empty()
                    : Optional.of(new Untold(request, duty.process(), ends.get(0).atMicros(), due, story));
            }
        }
        return Optional.empty();
    }

    /** The media host that made what a client read as its answer; empty where none did. */
    static String hostOf(Event answer, List<Event> events) {
        return events.stream().filter(e -> e.kind() == Event.Kind.ATTEMPT_SERVED && e.request().equals(answer.request())
            && e.detail().equals(answer.detail())).map(Event::party).findFirst().orElse("");
    }

    private List<Duty> duties(List<Event> story) {
        List<Duty> duties = new ArrayList<>();
        first(story, Event.Kind.REQUEST_SENT).ifPresent(sent -> duties.add(new Duty(processOf(sent.party()), sent.atMicros(), false)));
        story.stream().filter(e -> e.kind() == Event.Kind.SESSION_HANDED_OVER)
            .forEach(e -> duties.add(new Duty(e.detail(), e.atMicros() + HANDED_OVER_MICROS, true)));
        duties.sort(Comparator.comparingLong(Duty::fromMicros));
        return duties;
    }

    private String processOf(String connection) {
        return processes.getOrDefault(connection, "");
    }

    /** When a process was killed, or ended. */
    private long endOf(String process) {
        return processEnds.getOrDefault(process, NEVER);
    }

    /** When its client is to be told at the latest by that process; never, where the process could not learn of it. */
    private long due(List<Event> ends, Duty duty) {
        long due = NEVER;
        for (Event end : ends) {
            if (duty.handedOver() && end.atMicros() < startOf(duty.process()) && !isLoss(end)) {
                continue; // It was said to the process before.
            }
            long since = Math.max(end.atMicros(), duty.fromMicros());
            boolean released = end.kind() == Event.Kind.SESSION_RELEASED
                && connectedThroughout(duty.process(), since, since + RELEASED_WITHIN_MICROS);
            due = Math.min(due, released ? since + RELEASED_WITHIN_MICROS : dueWhereOver(duty.process(), since + OVER_WITHIN_MICROS));
        }
        return due;
    }

    /** Whether the media host was lost with the session: nobody can say so. */
    private static boolean isLoss(Event end) {
        return end.kind() == Event.Kind.SESSION_OVER && end.detail().startsWith("its ");
    }

    /** When the first client connected to that process. */
    private long startOf(String process) {
        return connections.getOrDefault(process, List.of()).stream().mapToLong(Event::atMicros).min().orElse(NEVER);
    }

    /** A process may learn of such an end late; then a client must be connected, to be told in the time that a release takes. */
    private long dueWhereOver(String process, long due) {
        long connected = connectedAt(process, due - RELEASED_WITHIN_MICROS);
        return connected > due ? NEVER : Math.max(due, connected + RELEASED_WITHIN_MICROS);
    }

    /** The first time from then on at which a client is connected to that process. */
    private long connectedAt(String process, long from) {
        int connected = 0;
        for (Event e : connections.getOrDefault(process, List.of())) {
            if (e.atMicros() > from && connected > 0) {
                return from;
            }
            connected += e.kind() == Event.Kind.CLIENT_CONNECTED ? 1 : -1;
            if (e.atMicros() >= from && connected > 0) {
                return e.atMicros();
            }
        }
        return connected > 0 ? from : NEVER;
    }

    private boolean connectedThroughout(String process, long from, long to) {
        int connected = 0;
        for (Event e : connections.getOrDefault(process, List.of())) {
            if (e.atMicros() > to) {
                break;
            }
            if (e.atMicros() > from && connected == 0) {
                return false;
            }
            connected += e.kind() == Event.Kind.CLIENT_CONNECTED ? 1 : -1;
        }
        return connected > 0;
    }

    private static long toldAt(List<Event> story) {
        return first(story, Event.Kind.RELEASE_READ).map(Event::atMicros).orElse(NEVER);
    }

    /** Whether its client ends a session that stands: one that leaves its connection does not, as the session belongs to none. */
    static boolean endsSession(Event event) {
        return event.kind() == Event.Kind.REQUEST_CANCELLED && !event.detail().equals(ClientEmulator.LEFT);
    }

    private static long endedByClientAt(List<Event> story) {
        return story.stream().filter(SessionChecker::endsSession).mapToLong(Event::atMicros).min().orElse(NEVER);
    }

    private static Optional<Event> first(List<Event> story, Event.Kind kind) {
        return story.stream().filter(e -> e.kind() == kind).findFirst();
    }
}
