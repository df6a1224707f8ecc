package cypressvalve.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The platform's front as a gateway starts anew: tests it, and hands over the sessions that stood at the process before. */
final class FrontEmulator {
    private static final long TEST_MILLIS = 20;
    private static final int MAX_TESTS = 500;
    private static final int PATIENCE_MILLIS = 1_000;

    private final String name;
    private final EventRecord record;
    private final int copies;

    /** @param copies how many media hosts hold each title */
    FrontEmulator(String name, EventRecord record, int copies) {
        this.name = name;
        this.record = record;
        this.copies = copies;
    }

    /**
     * Waits until the new process passes a test, then hands over; gives up where it never passes one.
     *
     * @param before the name of the process before, in the record
     */
    void handOver(String before, String process, InetSocketAddress address) throws InterruptedException {
        try {
            ClientEmulator connection = new ClientEmulator(name, process, address, record);
            for (int i = 1; i <= MAX_TESTS && !connection.passedTest(); i++) {
                connection.test(i);
                TimeUnit.MILLISECONDS.sleep(TEST_MILLIS);
            }
            List<Event> events = record.events();
            for (Map.Entry<String, Event> session : standing(before, events).entrySet()) {
                Event answer = session.getValue();
                connection.handOver(new ClientEmulator.SetUp(Long.parseUnsignedLong(session.getKey(), 16), "a", "t", "abcdef",
                    PATIENCE_MILLIS, copies), SessionChecker.hostOf(answer, events));
            }
        } catch (IOException e) {
            return; // It was killed meanwhile.
        }
    }

    /** The answers of the sessions that stand at that process as far as their clients know, by request. */
    private Map<String, Event> standing(String process, List<Event> events) {
        Set<String> connections = new HashSet<>();
        Map<String, Event> standing = new LinkedHashMap<>();
        Map<String, Event> answers = new HashMap<>();
        for (Event event : events) {
            if (event.kind() == Event.Kind.CLIENT_CONNECTED && event.detail().equals(process)) {
                connections.add(event.party());
            } else if (event.kind() == Event.Kind.ANSWER_SERVED) {
                answers.put(event.request(), event);
            }
            boolean here = event.kind() == Event.Kind.ANSWER_SERVED && connections.contains(event.party())
                || event.kind() == Event.Kind.SESSION_HANDED_OVER && event.detail().equals(process);
            if (here) {
                standing.put(event.request(), answers.get(event.request()));
            }
        }
        events.stream().filter(event -> event.kind() == Event.Kind.RELEASE_READ || SessionChecker.endsSession(event))
            .forEach(event -> standing.remove(event.request()));
        return standing;
    }
}
