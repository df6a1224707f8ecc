package cypressvalve.soak;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The ways in which the platform's pages let a good message of a media host arrive spoilt: noise, unreadable or unending lines,
 * lengths that do not fit, messages that break off or stop short. Free of I/O and clocks, so that emulators and generated tests
 * use the same.
 */
public enum SpoiltForm {
    /** Bytes that are no message take its place. */
    NOISE,
    /** The first line is none. */
    UNREADABLE_FIRST_LINE,
    /** A line of the head is noise. */
    UNREADABLE_FIELD,
    /** A line of the head does not end. */
    UNENDING_LINE,
    /** The body's bytes are noise that ends as the body did; the length fits. */
    NOISE_IN_BODY,
    /** Some characters of the body's first line are altered; the length fits. */
    NOISE_IN_FIRST_LINE,
    /** The bytes of all lines of the body behind the first are altered; the length fits. */
    ALTERED_LINES,
    /** The length leaves out the last lines, which come later. */
    LENGTH_LEAVES_OUT_LINES,
    /** The length leaves out the last lines, and the connection is closed. */
    LENGTH_LEAVES_OUT_LINES_AND_CLOSES,
    /** The length leaves out the last lines, which come at once. */
    LENGTH_LEAVES_OUT_LINES_THAT_COME_AT_ONCE,
    /** The length leaves out the last bytes, which come later. */
    LENGTH_LEAVES_OUT_BYTES,
    /** The length leaves out the last bytes, which come at once. */
    LENGTH_LEAVES_OUT_BYTES_THAT_COME_AT_ONCE,
    /** The length is larger than the body, and a copy of the message follows. */
    LENGTH_TOO_LARGE,
    LENGTH_NEGATIVE,
    LENGTH_HEXADECIMAL,
    /** The length is 0, and the body comes all the same. */
    LENGTH_ZERO,
    /** The length is 0, and no body comes. */
    EMPTY_BODY,
    NO_LENGTH,
    /** Two lengths; the last is too large and is filled up with zero bytes. */
    TWO_LENGTHS,
    /** It is declared to hold 3 GB and keeps coming. */
    HUGE_LENGTH,
    NO_SEQUENCE,
    /** A blank line stands before the body and counts as part of it. */
    BLANK_LINE_AHEAD,
    /** A blank line stands within the body; the length fits the body without it. */
    BLANK_LINE_WITHIN,
    /** A copy begins before the body has ended. */
    COPY_WITHIN_BODY,
    /** The connection is closed within the message. */
    BREAKS_OFF,
    /** The rest of the message never comes; the connection stays open. */
    STOPS_SHORT;

    /** How long what comes later may take, in milliseconds. */
    private static final int[] LATER_MILLIS = {1, 10, 100};
    private static final int NOISE_BYTES = 24;
    private static final int ALTERED_CHARACTERS = 3;
    private static final String NOISE_CHARACTERS = "ghjkqwxyz#~%&";
    private static final int UNENDING_BYTES = 20_000;
    private static final int HUGE_BYTES = 100_000;
    private static final String LENGTH_FIELD = "Content-Length: ";
    private static final String END_OF_LINE = "\r\n";

    /**
     * Some bytes of a spoilt message.
     *
     * @param afterMillis how long after the bytes before they are written
     */
    public record Part(byte[] bytes, int afterMillis) { }

    /**
     * A spoilt message as it is written.
     *
     * @param closes whether the connection is closed behind it
     */
    public record Spoilt(List<Part> parts, boolean closes) {
        /** All its bytes. */
        public byte[] bytes() {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            parts.forEach(part -> all.writeBytes(part.bytes()));
            return all.toByteArray();
        }
    }

    /** Whether it can be made of a message without a body. */
    public boolean fitsWithoutBody() {
        return switch (this) {
            case NOISE, UNREADABLE_FIRST_LINE, UNREADABLE_FIELD, UNENDING_LINE, LENGTH_TOO_LARGE, LENGTH_NEGATIVE, NO_LENGTH,
                HUGE_LENGTH, BREAKS_OFF, STOPS_SHORT -> true;
            default -> false;
        };
    }

    /**
     * Spoils a message.
     *
     * @param head its first line and fields, each with its end of line, but for the length and the blank line
     * @param body of two lines or more where a form leaves out lines
     */
    public Spoilt spoil(String head, byte[] body, RandomGenerator chance) {
        byte[] good = message(head, String.valueOf(body.length), body);
        int later = LATER_MILLIS[chance.nextInt(LATER_MILLIS.length)];
        return switch (this) {
            case NOISE -> whole(noise(chance, NOISE_BYTES));
            case UNREADABLE_FIRST_LINE -> whole(message(head.replaceFirst("RTSP", "RT\u0001P"), String.valueOf(body.length), body));
            case UNREADABLE_FIELD -> whole(message(head + text(noise(chance, NOISE_BYTES)), String.valueOf(body.length), body));
            case UNENDING_LINE -> whole(bytes(head + "X-More: " + "x".repeat(UNENDING_BYTES)));
            case NOISE_IN_BODY -> whole(message(head, String.valueOf(body.length), noiseLike(body, chance)));
            case NOISE_IN_FIRST_LINE -> whole(message(head, String.valueOf(body.length), withNoiseInFirstLine(body, chance)));
            case ALTERED_LINES -> whole(message(head, String.valueOf(body.length), altered(body, chance)));
            case LENGTH_LEAVES_OUT_LINES -> shortened(head, body, linesKept(body, chance), later, false);
            case LENGTH_LEAVES_OUT_LINES_AND_CLOSES -> closing(message(head, body, linesKept(body, chance)));
            case LENGTH_LEAVES_OUT_LINES_THAT_COME_AT_ONCE -> shortened(head, body, linesKept(body, chance), 0, false);
            case LENGTH_LEAVES_OUT_BYTES -> shortened(head, body, body.length - chance.nextInt(1, 5), later, false);
            case LENGTH_LEAVES_OUT_BYTES_THAT_COME_AT_ONCE -> shortened(head, body, body.length - chance.nextInt(1, 5), 0, false);
            case LENGTH_TOO_LARGE -> whole(joined(message(head, String.valueOf(body.length + chance.nextInt(1, good.length)), body), good));
            case LENGTH_NEGATIVE -> whole(message(head, "-" + (body.length + 1), body));
            case LENGTH_HEXADECIMAL -> whole(message(head, "0x" + Integer.toHexString(body.length), body));
            case LENGTH_ZERO -> new Spoilt(List.of(new Part(message(head, "0", new byte[0]), 0), new Part(body, later)), false);
            case EMPTY_BODY -> whole(message(head, "0", new byte[0]));
            case NO_LENGTH -> whole(joined(bytes(head + END_OF_LINE), body));
            case TWO_LENGTHS -> whole(message(head + LENGTH_FIELD + body.length + END_OF_LINE, String.valueOf(body.length + 4),
                Arrays.copyOf(body, body.length + 4)));
            case HUGE_LENGTH -> whole(joined(message(head, "3000000000", body), noise(chance, HUGE_BYTES)));
            case NO_SEQUENCE -> whole(message(head.replaceFirst("CSeq: [0-9]+\r\n", ""), String.valueOf(body.length), body));
            case BLANK_LINE_AHEAD -> whole(message(head, String.valueOf(body.length), joined(bytes(END_OF_LINE), body)));
            case BLANK_LINE_WITHIN -> whole(message(head, String.valueOf(body.length), blankLineWithin(body)));
            case COPY_WITHIN_BODY -> whole(joined(message(head, body, body.length - chance.nextInt(1, Math.min(8, body.length)),
                body.length), good));
            case BREAKS_OFF -> closing(Arrays.copyOf(good, chance.nextInt(1, good.length)));
            case STOPS_SHORT -> whole(Arrays.copyOf(good, chance.nextInt(1, good.length)));
        };
    }

    private static Spoilt whole(byte[] bytes) {
        return new Spoilt(List.of(new Part(bytes, 0)), false);
    }

    private static Spoilt closing(byte[] bytes) {
        return new Spoilt(List.of(new Part(bytes, 0)), true);
    }

    private static Spoilt shortened(String head, byte[] body, int kept, int laterMillis, boolean closes) {
        byte[] rest = Arrays.copyOfRange(body, kept, body.length);
        byte[] first = message(head, body, kept);
        return laterMillis == 0 ? whole(joined(first, rest))
            : new Spoilt(List.of(new Part(first, 0), new Part(rest, laterMillis)), closes);
    }

    private static byte[] message(String head, String length, byte[] body) {
        return joined(bytes(head + LENGTH_FIELD + length + END_OF_LINE + END_OF_LINE), body);
    }

    private static byte[] message(String head, byte[] body, int kept) {
        return message(head, body, kept, kept);
    }

    private static byte[] message(String head, byte[] body, int kept, int length) {
        return message(head, String.valueOf(length), Arrays.copyOf(body, Math.max(0, kept)));
    }

    /** How many bytes of the body are left where one or more of its last lines are left out. */
    private static int linesKept(byte[] body, RandomGenerator chance) {
        List<Integer> ends = lineEnds(body);
        ends.remove(Integer.valueOf(body.length));
        return ends.get(chance.nextInt(ends.size()));
    }

    private static List<Integer> lineEnds(byte[] body) {
        List<Integer> ends = new ArrayList<>();
        for (int i = 0; i < body.length; i++) {
            if (body[i] == '\n') {
                ends.add(i + 1);
            }
        }
        return ends;
    }

    private static byte[] noise(RandomGenerator chance, int length) {
        byte[] noise = new byte[length];
        chance.nextBytes(noise);
        noise[0] = 1; // Else noise might read as text.
        noise[length - 1] = '\n';
        return noise;
    }

    /** Noise of that length that ends in an end of line where the body does. */
    private static byte[] noiseLike(byte[] body, RandomGenerator chance) {
        byte[] noise = new byte[body.length];
        chance.nextBytes(noise);
        noise[0] = (byte) 0xff; // Never text.
        int end = body[body.length - 1] == '\n' ? 2 : 0;
        System.arraycopy(body, body.length - end, noise, body.length - end, end);
        return noise;
    }

    /** Up to three characters of the first line become others that no digit or type of a line is. */
    private static byte[] withNoiseInFirstLine(byte[] body, RandomGenerator chance) {
        byte[] noisy = body.clone();
        int length = lineEnds(body).get(0) - 2;
        for (int i = 0; i < ALTERED_CHARACTERS; i++) {
            noisy[chance.nextInt(length)] = (byte) NOISE_CHARACTERS.charAt(chance.nextInt(NOISE_CHARACTERS.length()));
        }
        return noisy;
    }

    /** Every byte behind the first line but ends of lines becomes another printable one or, in part of the cases, any. */
    private static byte[] altered(byte[] body, RandomGenerator chance) {
        byte[] altered = body.clone();
        boolean printable = chance.nextBoolean();
        for (int i = lineEnds(body).get(0); i < body.length; i++) {
            if (body[i] != '\r' && body[i] != '\n') {
                altered[i] = (byte) (printable ? body[i] == 'z' ? 'y' : 'z' : body[i] ^ 0x80);
            }
        }
        return altered;
    }

    private static byte[] blankLineWithin(byte[] body) {
        int first = lineEnds(body).get(0);
        return joined(joined(Arrays.copyOf(body, first), bytes(END_OF_LINE)), Arrays.copyOfRange(body, first, body.length));
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
