package cypressvalve.load.source;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Lines of a stream of bytes, none longer than a limit. Bytes that are not UTF-8 become U+FFFD. */
public final class LineSplitter {
    /** Longest line taken: eight times the longest request line that common servers accept. */
    public static final int LONGEST = 65_536;

    private final InputStream in;
    private final byte[] buffer = new byte[1 << 16];
    private int from;
    private int to;
    private byte[] line = new byte[1024];
    private boolean tooLong;

    public LineSplitter(InputStream in) {
        this.in = in;
    }

    /** The next line without its end, cut at the limit; null after the last. */
    public String next() throws IOException {
        int length = 0;
        tooLong = false;
        boolean any = false;
        while (true) {
            if (from == to) {
                from = 0;
                to = in.read(buffer);
                if (to <= 0) {
                    to = 0;
                    return any ? text(length) : null;
                }
            }
            any = true;
            int end = from;
            while (end < to && buffer[end] != '\n') {
                end++;
            }
            int taken = Math.min(end - from, LONGEST - length);
            tooLong |= taken < end - from;
            if (length + taken > line.length) {
                line = Arrays.copyOf(line, Math.max(length + taken, 2 * line.length));
            }
            System.arraycopy(buffer, from, line, length, taken);
            length += taken;
            from = end;
            if (from < to) {
                from++;
                return text(length);
            }
        }
    }

    private String text(int length) {
        int end = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
        return new String(line, 0, end, StandardCharsets.UTF_8);
    }

    /** Whether the last line was cut. */
    public boolean tooLong() {
        return tooLong;
    }
}
