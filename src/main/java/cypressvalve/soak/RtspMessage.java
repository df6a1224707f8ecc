package cypressvalve.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * One RTSP message as a media host reads it: the first line, the fields by lower-case name, and the body. Written from
 * RFC 7826's framing and shared with no code of the gateway.
 */
record RtspMessage(String firstLine, Map<String, String> fields, byte[] body) {
    private static final int MAX_LINE = 16 * 1024;

    /** Reads the next message; throws EOFException where the connection ends before one is whole. */
    static RtspMessage read(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> fields = new HashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("no field: " + line);
            }
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
        return new RtspMessage(first, fields, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            if (line.length() > MAX_LINE) {
                throw new IOException("a line without an end");
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }

    String method() {
        return firstLine.split(" ", 2)[0];
    }

    String session() {
        return fields.getOrDefault("session", "");
    }

    /** What a set-up says of class, title and description, as {@link ClientEmulator#offer} words it. */
    String offer() {
        String[] words = firstLine.split(" ");
        String title = words.length > 1 ? words[1].replace("rtsp://media/", "") : "";
        return ClientEmulator.offer(fields.getOrDefault("x-cos", ""), title, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** A response's first line and fields but for its length, each with its end of line. */
    static String responseHead(int status, String sequence, String session) {
        return "RTSP/1.0 " + status + " X\r\nCSeq: " + sequence + "\r\nSession: " + session + "\r\n";
    }

    /** A response to a message, with the extra fields each ended by CR LF. */
    static byte[] response(int status, String sequence, String session, String extraFields, byte[] body) {
        byte[] head = (responseHead(status, sequence, session) + extraFields + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }
}
