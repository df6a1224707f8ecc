package cypressvalve.load.sessions;

import java.util.List;

/**
 * One viewer's playback as a source shows it. Times are nanoseconds since 1970, spans nanoseconds.
 *
 * @param keys hashes of what tied its requests together, the surest first
 * @param screen highest rung seen or told, -1 for none
 * @param hint seconds, 0 for none
 * @param length from the first request to the last
 * @param firstSegment the lowest number seen, -1 for none
 * @param patience how long the viewer waited before it hung up, 0 where not known
 * @param headless its request to watch is not in the source
 * @param outlasts it may have gone on after the source's end
 * @param cutShort ended early as too many were held
 * @param started whether the server let it play
 */
public record Played(long at, List<Long> keys, String title, String plan, String tenant, int screen, int hint,
    long length, List<Try> tries, long firstSegment, long lastSegment, long segments, long bytes, long patience,
    boolean headless, boolean outlasts, boolean cutShort, boolean live, boolean started) {

    /** One request to watch: nanoseconds after the playback's first, the answer's status, how long it took. */
    public record Try(long after, int status, long took) { }

    /** The same playback begun at another time. */
    public Played at(long other) {
        return new Played(other, keys, title, plan, tenant, screen, hint, length, tries, firstSegment, lastSegment,
            segments, bytes, patience, headless, outlasts, cutShort, live, started);
    }

    /** The same playback by another viewer. */
    public Played by(List<Long> others) {
        return new Played(at, others, title, plan, tenant, screen, hint, length, tries, firstSegment, lastSegment,
            segments, bytes, patience, headless, outlasts, cutShort, live, started);
    }

    /** The time of its last request. */
    public long end() {
        return at + length;
    }
}
