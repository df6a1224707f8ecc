package cypressvalve.front.hls;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads a playlist by the MUSTs of RFC 8216 and says what it breaks. Written from the RFC alone; it shares no code
 * with the writer.
 */
public final class PlaylistChecker {
    private static final Set<String> MEDIA_ONLY = Set.of("#EXT-X-TARGETDURATION", "#EXT-X-MEDIA-SEQUENCE",
        "#EXT-X-DISCONTINUITY-SEQUENCE", "#EXT-X-ENDLIST", "#EXT-X-PLAYLIST-TYPE", "#EXTINF", "#EXT-X-BYTERANGE",
        "#EXT-X-DISCONTINUITY", "#EXT-X-KEY", "#EXT-X-MAP", "#EXT-X-PROGRAM-DATE-TIME", "#EXT-X-I-FRAMES-ONLY");
    private static final Set<String> MASTER_ONLY = Set.of("#EXT-X-MEDIA", "#EXT-X-STREAM-INF",
        "#EXT-X-I-FRAME-STREAM-INF", "#EXT-X-SESSION-DATA", "#EXT-X-SESSION-KEY");
    private static final Set<String> ONCE = Set.of("#EXTM3U", "#EXT-X-VERSION", "#EXT-X-TARGETDURATION",
        "#EXT-X-MEDIA-SEQUENCE", "#EXT-X-PLAYLIST-TYPE", "#EXT-X-ENDLIST", "#EXT-X-INDEPENDENT-SEGMENTS");
    private static final Pattern WHOLE = Pattern.compile("[0-9]{1,20}");
    private static final Pattern EXTINF = Pattern.compile("([0-9]+(\\.[0-9]+)?),.*");

    private final List<String> faults = new ArrayList<>();
    /** What a media playlist said, for comparison with an earlier one of the same URI. */
    private long sequence;
    private long target;
    private boolean ended;
    private final List<String> uris = new ArrayList<>();

    private PlaylistChecker() {
    }

    /** What the text breaks; empty if nothing. */
    public static List<String> faults(String text) {
        return read(text).faults;
    }

    /** What the change from one media playlist to a later one of the same URI breaks (section 6.2.1). */
    public static List<String> change(String before, String after) {
        PlaylistChecker a = read(before);
        PlaylistChecker b = read(after);
        List<String> faults = new ArrayList<>();
        if (a.target != b.target) {
            faults.add("EXT-X-TARGETDURATION MUST NOT change");
        }
        if (b.sequence < a.sequence) {
            faults.add("the media sequence number MUST NOT decrease");
        }
        if (a.ended && !before.equals(after)) {
            faults.add("a playlist with EXT-X-ENDLIST MUST NOT change");
        }
        for (int i = 0; i < b.uris.size(); i++) {
            long number = b.sequence + i;
            if (number >= a.sequence && number < a.sequence + a.uris.size()
                && !a.uris.get((int) (number - a.sequence)).equals(b.uris.get(i))) {
                faults.add("segment " + number + " MUST keep its URI");
            }
        }
        return faults;
    }

    private static PlaylistChecker read(String text) {
        PlaylistChecker checker = new PlaylistChecker();
        checker.check(text);
        return checker;
    }

    private void check(String text) {
        if (text.startsWith("\uFEFF")) {
            faults.add("a BOM MUST NOT be there (4.1)");
        }
        if (text.chars().anyMatch(c -> c < 0x20 && c != '\r' && c != '\n' || c == 0x7f)) {
            faults.add("control characters MUST NOT be there (4.1)");
        }
        String[] lines = text.split("\r\n|\n", -1);
        if (!lines[0].equals("#EXTM3U")) {
            faults.add("EXTM3U MUST be the first line (4.3.1.1)");
        }
        boolean media = false;
        boolean master = false;
        boolean hasTarget = false;
        long version = 1;
        double duration = -1;
        boolean streamInf = false;
        double longest = 0;
        boolean decimals = false;
        boolean sawSegment = false;
        List<String> seen = new ArrayList<>();
        for (String line : lines) {
            if (line.isEmpty()) {
                continue;
            }
            if (!line.startsWith("#")) {
                uris.add(line);
                if (streamInf) {
                    streamInf = false;
                } else if (duration < 0) {
                    faults.add("each segment MUST have an EXTINF (4.3.2.1)");
                }
                longest = Math.max(longest, duration);
                sawSegment |= duration >= 0;
                duration = -1;
                continue;
            }
            if (streamInf) {
                faults.add("a URI line MUST follow EXT-X-STREAM-INF (4.3.4.2)");
                streamInf = false;
            }
            if (!line.startsWith("#EXT")) {
                continue;
            }
            int colon = line.indexOf(':');
            String tag = colon < 0 ? line : line.substring(0, colon);
            String value = colon < 0 ? "" : line.substring(colon + 1);
            if (ONCE.contains(tag) && seen.contains(tag)) {
                faults.add(tag + " MUST NOT stand more than once");
            }
            seen.add(tag);
            media |= MEDIA_ONLY.contains(tag);
            master |= MASTER_ONLY.contains(tag);
            switch (tag) {
                case "#EXT-X-VERSION" -> version = whole(tag, value);
                case "#EXT-X-TARGETDURATION" -> {
                    hasTarget = true;
                    target = whole(tag, value);
                }
                case "#EXT-X-MEDIA-SEQUENCE" -> {
                    sequence = whole(tag, value);
                    if (sawSegment) {
                        faults.add("EXT-X-MEDIA-SEQUENCE MUST come before the first segment (4.3.3.2)");
                    }
                }
                case "#EXT-X-ENDLIST" -> ended = true;
                case "#EXT-X-PLAYLIST-TYPE" -> {
                    if (!value.equals("VOD") && !value.equals("EVENT")) {
                        faults.add("EXT-X-PLAYLIST-TYPE MUST be EVENT or VOD (4.3.3.5)");
                    }
                }
                case "#EXTINF" -> {
                    Matcher m = EXTINF.matcher(value);
                    if (m.matches()) {
                        duration = Double.parseDouble(m.group(1));
                        decimals |= m.group(2) != null;
                    } else {
                        faults.add("EXTINF MUST have a duration and a comma (4.3.2.1)");
                        duration = 0;
                    }
                }
                case "#EXT-X-STREAM-INF" -> {
                    streamInf = true;
                    if (!value.matches("(?:.*,)?BANDWIDTH=[0-9]+(?:,.*)?")) {
                        faults.add("every EXT-X-STREAM-INF MUST include BANDWIDTH (4.3.4.2)");
                    }
                }
                default -> { }
            }
        }
        if (media && master) {
            faults.add("tags of both kinds MUST NOT be mixed (4.3.4)");
        }
        if (media && !hasTarget) {
            faults.add("EXT-X-TARGETDURATION is REQUIRED (4.3.3.1)");
        }
        if (Math.round(longest) > target && media) {
            faults.add("EXTINF, rounded, MUST NOT exceed the target duration (4.3.3.1)");
        }
        if (decimals && version < 3) {
            faults.add("decimal durations need version 3 (7)");
        }
        if (streamInf) {
            faults.add("a URI line MUST follow EXT-X-STREAM-INF (4.3.4.2)");
        }
        if (!media && !master) {
            faults.add("neither a media nor a multivariant playlist");
        }
    }

    private long whole(String tag, String value) {
        if (WHOLE.matcher(value).matches()) {
            return Long.parseLong(value);
        }
        faults.add(tag + " MUST be a decimal integer (4.2)");
        return 0;
    }
}
