package cypressvalve.host.answer;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A session description as its lines.
 *
 * @param endsLine whether its last line is ended
 */
record Description(List<DescriptionLine> lines, boolean endsLine) {
    private static final char DELETE = 127;

    /** The description in these bytes; nothing where they are no text (UTF-8 without control characters but those of lines). */
    static Optional<Description> of(byte[] bytes) {
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
        String unified = text.replace("\r\n", "\n");
        if (unified.chars().anyMatch(c -> c < ' ' && c != '\t' && c != '\n' || c == DELETE)) {
            return Optional.empty();
        }
        boolean endsLine = unified.endsWith("\n");
        String lines = endsLine ? unified.substring(0, unified.length() - 1) : unified;
        List<DescriptionLine> all = new ArrayList<>();
        for (String line : lines.split("\n", -1)) {
            all.add(DescriptionLine.of(line));
        }
        return Optional.of(new Description(all, endsLine));
    }

    boolean has(char type) {
        return lines.stream().anyMatch(line -> line.type() == type);
    }

    /** Whether it describes streams, as an offer in the sense of RFC 3264 does. */
    boolean describesMedia() {
        return has('m');
    }

    boolean hasBlankLine() {
        return lines.stream().anyMatch(line -> !line.typed() && line.value().isBlank());
    }

    /** Its streams in order; one that is not well formed is left out. */
    List<MediaLine> media() {
        return lines.stream().filter(line -> line.type() == 'm').flatMap(line -> MediaLine.of(line.value()).stream()).toList();
    }

    /** Whether each stream that is not rejected has an address, its own or the session's (RFC 8866, section 5.7). */
    boolean hasAddresses() {
        boolean ofSession = false;
        boolean inMedia = false;
        boolean missing = false;
        for (DescriptionLine line : lines) {
            if (line.type() == 'm') {
                if (missing) {
                    return false;
                }
                inMedia = true;
                missing = !ofSession && MediaLine.of(line.value()).map(MediaLine::port).orElse(0) > 0;
            } else if (line.type() == 'c') {
                ofSession |= !inMedia;
                missing = false;
            }
        }
        return !missing;
    }

    /** The kinds of its lines in order. */
    DescriptionShape shape() {
        return new DescriptionShape(lines.stream().map(DescriptionLine::kind).toList(), endsLine);
    }
}
