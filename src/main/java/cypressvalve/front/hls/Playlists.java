package cypressvalve.front.hls;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/**
 * Playlists by RFC 8216, made for one session. Segments are named relative to the playlist, so that each request for
 * one comes to the gateway first, which sends it on to the host and rung in force; docs/hls.md says why.
 */
public final class Playlists {
    /** Playlists here use decimal durations and no tag that asks for more (RFC 8216, section 7). */
    private static final int VERSION = 3;
    private static final double SECOND = 1e9;

    private Playlists() {
    }

    /**
     * The multivariant playlist: one variant, behind which the rung changes (section 4.3.4.2).
     *
     * @param uri of the media playlist
     * @param peak bits a second that no segment exceeds
     * @param average bits a second of the highest rung
     */
    public static String multivariant(String uri, long peak, long average) {
        return "#EXTM3U\n#EXT-X-VERSION:" + VERSION + "\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-STREAM-INF:BANDWIDTH="
            + peak + ",AVERAGE-BANDWIDTH=" + average + ",CODECS=\"avc1.4d401f,mp4a.40.2\"\n" + uri + "\n";
    }

    /** How many segments a recorded title has; length and segment in nanoseconds. */
    public static long segments(long length, long segment) {
        return (length + segment - 1) / segment;
    }

    /** The media playlist of a recorded title, whole (section 4.3.3.5, VOD). */
    public static String recorded(long length, long segment) {
        long count = segments(length, segment);
        StringBuilder out = head(segment, 0).append("#EXT-X-PLAYLIST-TYPE:VOD\n");
        for (long n = 0; n < count; n++) {
            segment(out, n, Math.min(segment, length - n * segment));
        }
        return out.append("#EXT-X-ENDLIST\n").toString();
    }

    /** Number of the newest segment of a live title that is whole at that time (nanoseconds since 1970). */
    public static long edge(long now, long segment) {
        return Math.floorDiv(now, segment) - 1;
    }

    /** The media playlist of a live title: the newest segments, no more than window of them (section 6.2.2). */
    public static String live(long now, long segment, int window) {
        long last = edge(now, segment);
        long first = last - window + 1;
        StringBuilder out = head(segment, first);
        long at = first * segment;
        out.append("#EXT-X-PROGRAM-DATE-TIME:")
            .append(Instant.ofEpochSecond(at / 1_000_000_000L, at % 1_000_000_000L).truncatedTo(ChronoUnit.MILLIS))
            .append('\n');
        for (long n = first; n <= last; n++) {
            segment(out, n, segment);
        }
        return out.toString();
    }

    private static StringBuilder head(long segment, long first) {
        // Rounded to the nearest second no EXTINF may exceed it (section 4.3.3.1).
        return new StringBuilder("#EXTM3U\n#EXT-X-VERSION:" + VERSION + "\n#EXT-X-INDEPENDENT-SEGMENTS\n"
            + "#EXT-X-TARGETDURATION:" + Math.max(1, Math.round(segment / SECOND)) + "\n#EXT-X-MEDIA-SEQUENCE:"
            + first + "\n");
    }

    private static void segment(StringBuilder out, long number, long length) {
        out.append("#EXTINF:").append(String.format(Locale.ROOT, "%.3f", length / SECOND)).append(",\n")
            .append(number).append(".ts\n");
    }
}
