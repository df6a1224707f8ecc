package cypressvalve.session;

/**
 * A viewer's wish to watch, as every front hands it to the core. Title and plan are known to the service.
 *
 * @param viewer what stays the same when the viewer asks again while the first request is open; empty if unknown
 * @param ceiling the highest rung that its screen can use
 * @param hint a guess of how long it watches, in nanoseconds, 0 for none
 * @param patience how long it waits for the answer, in nanoseconds
 */
public record Ask(String viewer, String title, String plan, String tenant, int ceiling, long hint, long patience) {
    /** Asks with the same key are one playback; null where the viewer can't be known again. */
    String key() {
        return viewer.isEmpty() ? null : viewer + '\n' + tenant + '\n' + plan + '\n' + title;
    }
}
