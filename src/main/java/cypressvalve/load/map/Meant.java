package cypressvalve.load.map;

import cypressvalve.load.source.Hit;
import java.util.List;

/**
 * What a request means for a viewer's playback.
 *
 * @param at when it came, nanoseconds since 1970, as corrected so far
 * @param title empty where the URI does not tell
 * @param rung from 0 by the mapping's ladder, -1 where not told
 * @param segment number, -1 where it is none
 * @param screen highest rung the viewer may use, -1 where not told
 * @param hint seconds, 0 for none
 * @param keys what ties requests together, the surest first
 * @param sure whether the first key belongs to one playback alone
 */
public record Meant(Hit hit, long at, Kind kind, String title, String plan, String tenant, int rung, long segment,
    int screen, int hint, boolean live, List<String> keys, boolean sure) {

    /** Kinds of requests: to watch, for a playlist, for a segment, to end, none of these. */
    public enum Kind { ASK, PLAYLIST, SEGMENT, END, IGNORE }

    /** The same at another time. */
    public Meant at(long other) {
        return other == at ? this
            : new Meant(hit, other, kind, title, plan, tenant, rung, segment, screen, hint, live, keys, sure);
    }

    /** Whether the server did what was asked: success, or a redirect to it. */
    public boolean served() {
        return hit.status() >= 200 && hit.status() < 400 || hit.status() < 0;
    }
}
