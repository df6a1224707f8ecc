package cypressvalve.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The sessions that stand at one emulated media host, from answer to end. A release goes out on the connection of the
 * set-up, else on any open one of the same gateway, and also on the next one that the gateway opens.
 */
final class HostSessions {
    /** A connection from a gateway. */
    interface Path {
        /** The gateway at its other end; null while nothing has come that tells. */
        String owner();

        boolean isOpen();

        void write(byte[] message) throws IOException;
    }

    private record Standing(String session, String owner, Path path) { }

    /** A release that is said again on the next connection of that gateway. */
    private record Repeat(Standing session, int cause) { }

    private final String host;
    private final EventRecord record;
    private final boolean repeatsWhatWasHeard;
    private final Map<String, Standing> standing = new HashMap<>();
    private final List<Repeat> repeats = new ArrayList<>();
    private final List<Path> paths = new ArrayList<>();
    private final Random chance;

    /** @param repeatsWhatWasHeard whether a release that was acknowledged is said again on the next connection, too */
    HostSessions(String host, EventRecord record, boolean repeatsWhatWasHeard) {
        this.host = host;
        this.record = record;
        this.repeatsWhatWasHeard = repeatsWhatWasHeard;
        chance = new Random(host.hashCode());
    }

    /** An answer goes out now: the session stands. */
    synchronized void begun(String session, Path path) {
        standing.put(session, new Standing(session, String.valueOf(path.owner()), path));
    }

    /** Its answer could not be written, as its connection has ended: the set-up was given up with that. */
    synchronized void unanswered(String session) {
        standing.remove(session);
    }

    synchronized boolean stands(String session) {
        return standing.containsKey(session);
    }

    /** The connection of the session's set-up; null if the session does not stand. */
    synchronized Path pathOf(String session) {
        Standing stands = standing.get(session);
        return stands == null ? null : stands.path();
    }

    /** A gateway has ended it; nothing is said of it any more. */
    synchronized void endedByGateway(String session) {
        if (standing.remove(session) != null) {
            record.add(Event.Kind.SESSION_ENDED_BY_GATEWAY, host, session, "");
        }
        repeats.removeIf(repeat -> repeat.session().session().equals(session));
    }

    /** A gateway has acknowledged the release. */
    synchronized void heard(String session) {
        if (!repeatsWhatWasHeard) {
            repeats.removeIf(repeat -> repeat.session().session().equals(session));
        }
    }

    /** The media host ends it, and says so where it can. */
    synchronized void end(String session, int cause) {
        Standing ended = standing.remove(session);
        if (ended == null) {
            return;
        }
        repeats.add(new Repeat(ended, cause));
        for (Path path : pathsOf(ended)) {
            if (release(ended, cause, path)) {
                return;
            }
        }
        record.add(Event.Kind.SESSION_OVER, host, session, "no connection is open");
    }

    private List<Path> pathsOf(Standing ended) {
        List<Path> open = new ArrayList<>();
        paths.removeIf(path -> !path.isOpen());
        Collections.shuffle(paths, chance);
        if (ended.path().isOpen()) {
            open.add(ended.path());
        }
        paths.stream().filter(path -> path != ended.path() && ended.owner().equals(path.owner())).forEach(open::add);
        return open;
    }

    private boolean release(Standing ended, int cause, Path path) {
        byte[] message = ("TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: " + ended.session() + "\r\nReason: cause="
            + cause + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        long at = record.now();
        try {
            path.write(message);
            record.add(at, Event.Kind.SESSION_RELEASED, host, ended.session(), String.valueOf(cause));
            return true;
        } catch (IOException e) {
            return false; // It has ended meanwhile.
        }
    }

    /** A connection from that gateway is open, and it is known whose: what ended before is said on it, too. */
    synchronized void opened(Path path) {
        paths.add(path);
        for (Iterator<Repeat> i = repeats.iterator(); i.hasNext(); ) {
            Repeat repeat = i.next();
            if (repeat.session().owner().equals(path.owner()) && release(repeat.session(), repeat.cause(), path)) {
                i.remove();
            }
        }
    }

    /** All are over, and nothing can be said of it. */
    synchronized void allOver(String why) {
        standing.keySet().forEach(session -> record.add(Event.Kind.SESSION_OVER, host, session, why));
        standing.clear();
        repeats.clear();
    }

    /** Ids of those that stand now. */
    synchronized List<String> standing() {
        return List.copyOf(standing.keySet());
    }
}
