package cypressvalve.host.rtsp;

import java.util.HashMap;
import java.util.Map;

/**
 * What became of set-ups on one connection to a media host, by session, for as long as a late or a second answer of them may come: longer
 * than hosts are told to wait. Free of I/O and of clocks; times are nanoseconds.
 */
final class AnswerHistory {
    private static final long LATE_ANSWER_WINDOW = 30_000_000_000L;

    /** Set-ups of one session that were given up here. */
    private record GivenUp(int count, long lastAt) { }

    /** Given up: an answer may still come. */
    private final Map<String, GivenUp> cancelled = new HashMap<>();
    /** Answered, but not to play: the answer may come again. */
    private final Map<String, Long> refused = new HashMap<>();
    /** They play by an answer that may have been the one to a cancelled attempt before. */
    private final Map<String, Long> ambiguous = new HashMap<>();

    /** The set-up is given up on this connection. */
    void cancelled(String session, long now) {
        GivenUp before = cancelled.get(session);
        cancelled.put(session, new GivenUp(before == null ? 1 : before.count + 1, now));
    }

    /** Whether an answer to a cancelled set-up may still come. */
    boolean mayAnswerCancelled(String session) {
        return cancelled.containsKey(session);
    }

    /** Whether what comes may concern a set-up that was cancelled before the last one, and so tells nothing of that. */
    boolean mayConcernOneBefore(String session) {
        return cancelled.containsKey(session) && cancelled.get(session).count > 1;
    }

    /** The answer to a cancelled set-up has come; whether one was due. */
    boolean takeCancelled(String session) {
        return cancelled.remove(session) != null;
    }

    /** The set-up was answered, but not to play. */
    void refused(String session, long now) {
        refused.put(session, now);
    }

    /** Whether a second copy of a refusal may come. */
    boolean mayRefuseAgain(String session) {
        return refused.containsKey(session);
    }

    /** It plays by an answer that may be the one to an attempt before: a second copy must not end it. */
    void ambiguous(String session, long now) {
        ambiguous.put(session, now);
    }

    /** Whether a refusal now is that of the attempt that counted as playing. */
    boolean takeAmbiguous(String session) {
        return ambiguous.remove(session) != null;
    }

    /** Forgets what can't be answered any more. */
    void expire(long now) {
        cancelled.values().removeIf(givenUp -> now - givenUp.lastAt > LATE_ANSWER_WINDOW);
        refused.values().removeIf(at -> now - at > LATE_ANSWER_WINDOW);
        ambiguous.values().removeIf(at -> now - at > LATE_ANSWER_WINDOW);
    }
}
