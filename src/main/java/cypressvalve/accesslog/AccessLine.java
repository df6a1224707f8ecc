package cypressvalve.accesslog;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/**
 * One request as our access logs have it: combined, then $msec, $request_time, the viewer's CMCD session field and
 * the session's name, escaped as nginx does by default. docs/load.md has the log_format that reads it.
 *
 * @param began nanoseconds since 1970
 * @param took nanoseconds to the answer's end
 */
public record AccessLine(String address, long began, long took, String request, int status, long bytes, String referer,
    String agent, String cmcd, String session) {
    private static final DateTimeFormatter LOCAL = DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ROOT);
    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;

    /** The line without its end. */
    public String text() {
        long ended = began + took;
        return shown(address) + " - - [" + LOCAL.format(Instant.ofEpochSecond(0, ended).atOffset(ZoneOffset.UTC))
            + "] \"" + shown(request) + "\" " + status + " " + bytes + " \"" + shown(referer) + "\" \"" + shown(agent)
            + "\" " + millis(ended) + " " + millis(took) + " \"" + shown(cmcd) + "\" \"" + shown(session) + "\"";
    }

    private static String millis(long nanos) {
        return nanos / SECOND + "." + String.format("%03d", nanos % SECOND / MILLI);
    }

    private static String shown(String value) {
        if (value == null || value.isEmpty()) {
            return "-";
        }
        StringBuilder out = null;
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i++) {
            int b = bytes[i] & 0xff;
            if (b == '"' || b == '\\' || b < 0x20 || b >= 0x7f) {
                out = out == null ? new StringBuilder(new String(bytes, 0, i, StandardCharsets.US_ASCII)) : out;
                out.append(String.format("\\x%02X", b));
            } else if (out != null) {
                out.append((char) b);
            }
        }
        return out == null ? value : out.toString();
    }
}
