package cypressvalve.host.answer;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One stream of a session description: the value of an {@code m=} line (RFC 8866, section 5.14).
 *
 * @param port 0 where an answer rejects the stream
 */
record MediaLine(String media, int port, String protocol, List<String> formats) {
    private static final Pattern FORM = Pattern.compile("([0-9A-Za-z!#$%&'*+._`{|}~^-]+) ([0-9]{1,5})(?:/[0-9]{1,5})? ([0-9A-Za-z/._-]+)((?: [^ ]+)+)");
    private static final int MAX_PORT = 65_535;
    private static final String RTP = "RTP/";
    /** RTP payload types (RFC 3551). */
    private static final Pattern PAYLOAD_TYPE = Pattern.compile("[0-9]{1,2}|1[01][0-9]|12[0-7]");

    static Optional<MediaLine> of(String value) {
        Matcher matcher = FORM.matcher(value);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            return Optional.empty();
        }
        MediaLine line = new MediaLine(matcher.group(1), Integer.parseInt(matcher.group(2)), matcher.group(3),
            List.of(matcher.group(4).strip().split(" ")));
        boolean payloadTypes = line.formats.stream().allMatch(format -> PAYLOAD_TYPE.matcher(format).matches());
        return line.protocol.startsWith(RTP) && !payloadTypes ? Optional.empty() : Optional.of(line);
    }

    /** Whether this answers that stream of an offer: RFC 3264, section 6, but for its formats, to which an answer may add. */
    boolean answers(MediaLine offered) {
        return media.equals(offered.media) && protocol.equals(offered.protocol);
    }
}
