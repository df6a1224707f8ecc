package cypressvalve.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Judges a trial from its record alone, by the protocol's rules: one answer in time to every request that a gateway took,
 * nothing served that no media host served, one attempt out at a time, and no attempt begun for a client that has gone.
 * Pure: it reads no clock and knows nothing of the gateway's code.
 */
public final class RecordChecker {
    /** A client that is gone may still be met by what was on its way. */
    private static final long GONE_SLACK_MICROS = 100_000;
    /** An answer this late earns nothing and breaks no rule. */
    private static final long LATE_ANSWER_MICROS = 500_000;
    /** A request that crosses the close of a connection without an open request is sent again elsewhere, once. */
    private static final long CROSSING_MICROS = 50_000;
    /** What is sent to a draining host later than its grace and the protocol's slack breaks the rule. */
    private static final long DRAIN_GRACE_MICROS = 500_000 + 50_000;
    private static final long MICROS_PER_MILLI = 1_000;
    /** Stands behind the patience of a request that must not run twice. */
    static final String ONCE = " once";
    /** Causes of a refusal, which promises that nothing ran. */
    private static final Set<String> REFUSALS = Set.of("34", "42", "102");

    /** Which rule a violation breaks. */
    public enum Rule { LOST, DUPLICATE, FORWARDED_AFTER_END, DRAIN, CRASH, NOT_RELEASED, LEFT_STANDING, FORGED, LIMIT }

    /** One broken rule: the request, and its story as the record has it. */
    public record Violation(Rule rule, String request, String what, List<Event> story) {
        @Override
        public String toString() {
            return rule + " " + request + ": " + what + "\n  " + story.stream().map(Event::toString)
                .collect(Collectors.joining("\n  "));
        }
    }

    private record Attempt(String host, long begun, long ended) { }

    private final List<Violation> violations = new ArrayList<>();
    private final List<Event> events;

    private RecordChecker(List<Event> events) {
        this.events = events;
    }

    /** All rules that the record breaks, by request. */
    public static List<Violation> check(List<Event> events) {
        RecordChecker checker = new RecordChecker(events);
        Map<String, List<Event>> byRequest = new TreeMap<>();
        events.stream().filter(e -> !e.request().isEmpty())
            .forEach(e -> byRequest.computeIfAbsent(e.request(), request -> new ArrayList<>()).add(e));
        checker.checkDrains();
        checker.checkProcesses();
        long end = events.stream().mapToLong(Event::atMicros).max().orElse(0);
        byRequest.forEach((request, story) -> {
            checker.checkAnswers(request, story, end);
            checker.checkAttempts(request, story);
            checker.checkOffers(request, story);
        });
        checker.checkSessionEnds();
        return checker.violations;
    }

    private void add(Rule rule, String request, String what, List<Event> story) {
        violations.add(new Violation(rule, request, what, story));
    }

    private void checkAnswers(String request, List<Event> story, long end) {
        Event sent = first(story, Event.Kind.REQUEST_SENT);
        if (sent == null) {
            return;
        }
        List<Event> answers = story.stream().filter(e -> e.kind() == Event.Kind.ANSWER_SERVED
            || e.kind() == Event.Kind.ANSWER_REFUSED).toList();
        boolean cancelled = first(story, Event.Kind.REQUEST_CANCELLED) != null;
        long due = sent.atMicros() + Long.parseLong(sent.detail().replace(ONCE, "")) * MICROS_PER_MILLI + LATE_ANSWER_MICROS;
        if (answers.size() > 1) {
            add(Rule.LOST, request, "answered " + answers.size() + " times", story);
        } else if (answers.isEmpty() && !cancelled && !sentTooLate(sent) && !crossedClose(sent) && !heldByKilled(sent)) {
            add(Rule.LOST, request, end < due ? "no answer when the trial ended" : "no answer", story);
        } else if (!answers.isEmpty() && answers.get(0).atMicros() > due) {
            add(Rule.LOST, request, "answered after its time", story);
        }
        boolean served = answers.stream().anyMatch(e -> e.kind() == Event.Kind.ANSWER_SERVED);
        Set<String> made = story.stream().filter(e -> e.kind() == Event.Kind.ATTEMPT_SERVED).map(Event::detail)
            .collect(Collectors.toSet());
        if (served && answers.stream().noneMatch(e -> made.contains(e.detail()))) {
            add(Rule.LOST, request, "served what no media host made", story);
        }
    }

    /** Whether its last byte was written when the connection had ended: no process took it. */
    private boolean sentTooLate(Event sent) {
        return events.stream().anyMatch(e -> e.kind() == Event.Kind.CONNECTION_ENDED && e.party().equals(sent.party())
            && e.atMicros() < sent.atMicros());
    }

    /** Whether the process that held it was killed without SIGTERM before: what it held is nobody's duty. */
    private boolean heldByKilled(Event sent) {
        return events.stream().filter(e -> e.kind() == Event.Kind.CONNECTION_ENDED && e.party().equals(sent.party()))
            .anyMatch(e -> killedAt(e.detail()) <= e.atMicros() && events.stream().noneMatch(signal -> signal.kind()
                == Event.Kind.SIGNAL && signal.party().equals(e.detail()) && signal.detail().equals("TERM")));
    }

    /** Whether the gateway, not its kill, closed the connection just then, and had answered all that came on it before. */
    private boolean crossedClose(Event sent) {
        boolean closed = events.stream().anyMatch(e -> e.kind() == Event.Kind.CONNECTION_ENDED
            && e.party().equals(sent.party()) && e.atMicros() <= Math.min(killedAt(e.detail()),
                sent.atMicros() + CROSSING_MICROS));
        Set<String> answered = events.stream().filter(e -> e.kind() == Event.Kind.ANSWER_SERVED
            || e.kind() == Event.Kind.ANSWER_REFUSED || e.kind() == Event.Kind.REQUEST_CANCELLED)
            .map(Event::request).collect(Collectors.toSet());
        return closed && events.stream().filter(e -> e.kind() == Event.Kind.REQUEST_SENT && e.party().equals(sent.party())
            && e.atMicros() < sent.atMicros() - CROSSING_MICROS).allMatch(e -> answered.contains(e.request()));
    }

    private long killedAt(String process) {
        return events.stream().filter(e -> e.kind() == Event.Kind.SIGNAL && e.detail().equals("KILL")
            && e.party().equals(process)).mapToLong(Event::atMicros).min().orElse(Long.MAX_VALUE);
    }

    private void checkProcesses() {
        Set<String> told = events.stream().filter(e -> e.kind() == Event.Kind.SIGNAL
            && (e.detail().equals("TERM") || e.detail().equals("KILL"))).map(Event::party).collect(Collectors.toSet());
        events.stream().filter(e -> e.kind() == Event.Kind.PROCESS_ENDED && !told.contains(e.party()))
            .forEach(e -> add(Rule.CRASH, "", e.party() + " ended with " + e.detail(), List.of(e)));
    }

    /** A set-up in a form that no client sent. */
    private void checkOffers(String request, List<Event> story) {
        Event offered = first(story, Event.Kind.REQUEST_OFFERED);
        story.stream().filter(e -> e.kind() == Event.Kind.ATTEMPT_BEGUN && !e.detail().isEmpty())
            .filter(e -> offered == null || !offered.detail().equals(e.detail())).findFirst()
            .ifPresent(e -> add(Rule.FORGED, request, "sent to " + e.party() + " as '" + e.detail() + "'", story));
    }

    private void checkSessionEnds() {
        events.stream().filter(e -> e.kind() == Event.Kind.ANSWER_UNREADABLE)
            .forEach(e -> add(Rule.LOST, e.request(), "an answer that can't be read: " + e.detail(), List.of(e)));
        events.stream().filter(e -> e.kind() == Event.Kind.LIMIT_EXCEEDED)
            .forEach(e -> add(Rule.LIMIT, "", e.party() + " holds " + e.detail() + " descriptors", List.of(e)));
        new SessionChecker(events).leftStanding().forEach(left -> add(Rule.LEFT_STANDING, left.request(),
            "over for its client since " + left.overMicros() + ", and it stands at its media host", left.story()));
        new SessionChecker(events).late().forEach(late -> add(Rule.NOT_RELEASED, late.request(), "its session was over at "
            + late.overMicros() + ", and " + late.process() + " had not told its client at " + late.dueMicros(), late.story()));
    }

    private void checkDrains() {
        for (Event told : events.stream().filter(e -> e.kind() == Event.Kind.DRAIN_TOLD).toList()) {
            events.stream().filter(e -> e.kind() == Event.Kind.ATTEMPT_BEGUN && e.party().equals(told.party())
                && e.atMicros() > told.atMicros() + DRAIN_GRACE_MICROS).findFirst()
                .ifPresent(e -> add(Rule.DRAIN, e.request(), "sent to " + e.party() + " " + (e.atMicros() - told.atMicros())
                    + " us after it was told to drain", List.of(told, e)));
        }
    }

    /** Nothing here proves that an attempt never ran once it has come whole to its host. */
    private void checkOnce(String request, List<Event> story, List<Attempt> attempts) {
        Event sent = first(story, Event.Kind.REQUEST_SENT);
        if (sent == null || !sent.detail().endsWith(ONCE) || attempts.isEmpty()) {
            return;
        }
        if (attempts.size() > 1) {
            add(Rule.DUPLICATE, request, "sent " + attempts.size() + " times and must not run twice", story);
        }
        Event refused = first(story, Event.Kind.ANSWER_REFUSED);
        if (refused != null && REFUSALS.contains(refused.detail()) && attempts.get(0).begun() < refused.atMicros()) {
            add(Rule.DUPLICATE, request, "refused though it may have run", story);
        }
    }

    private void checkAttempts(String request, List<Event> story) {
        List<Attempt> attempts = attempts(story);
        checkOnce(request, story, attempts);
        for (int i = 1; i < attempts.size(); i++) {
            Attempt before = attempts.get(i - 1);
            Attempt next = attempts.get(i);
            if (next.begun() < before.ended()) {
                add(Rule.DUPLICATE, request, "attempt at " + next.host() + " began " + (before.ended() - next.begun())
                    + " us before that at " + before.host() + " ended", story);
            }
        }
        long over = story.stream().filter(e -> Set.of(Event.Kind.ANSWER_SERVED, Event.Kind.ANSWER_REFUSED,
            Event.Kind.REQUEST_CANCELLED).contains(e.kind())).mapToLong(Event::atMicros).min().orElse(Long.MAX_VALUE);
        attempts.stream().filter(a -> over != Long.MAX_VALUE && a.begun() > over + GONE_SLACK_MICROS).findFirst()
            .ifPresent(a -> add(Rule.FORWARDED_AFTER_END, request, "sent to " + a.host() + " " + (a.begun() - over)
                + " us after its end", story));
    }

    /** The attempts in order of their begin; one without an end lasts for ever. */
    private static List<Attempt> attempts(List<Event> story) {
        Map<String, Long> open = new LinkedHashMap<>();
        List<Attempt> attempts = new ArrayList<>();
        for (Event e : story) {
            if (e.kind() == Event.Kind.ATTEMPT_BEGUN) {
                Long before = open.put(e.party(), e.atMicros());
                if (before != null) {
                    attempts.add(new Attempt(e.party(), before, Long.MAX_VALUE)); // Again while it was out at this very host.
                }
            } else if (e.kind() == Event.Kind.ATTEMPT_ENDED && open.containsKey(e.party())) {
                attempts.add(new Attempt(e.party(), open.remove(e.party()), e.atMicros()));
            }
        }
        new HashMap<>(open).forEach((host, begun) -> attempts.add(new Attempt(host, begun, Long.MAX_VALUE)));
        attempts.sort(Comparator.comparingLong(Attempt::begun));
        return attempts;
    }

    private static Event first(List<Event> story, Event.Kind kind) {
        return story.stream().filter(e -> e.kind() == kind).findFirst().orElse(null);
    }
}
