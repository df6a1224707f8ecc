package cypressvalve.host.rtsp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * One message of RTSP 1.0 (RFC 2326), as far as the platform's media hosts speak it.
 *
 * @param status of a response, 0 for a request
 * @param method of a request, empty for a response
 * @param fields by their names in lower case
 */
record Rtsp(int status, String method, Map<String, String> fields, byte[] body) {
    /** Bytes that a message may have. */
    static final int MOST = 16 * 1024;
    private static final String VERSION = "RTSP/1.0";
    /** Fields that tell where a message ends and whose it is: where one of them comes twice, neither can be believed. */
    private static final Set<String> SINGLE_FIELDS = Set.of("content-length", "cseq", "session");
    private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final int FIRST_FINAL_STATUS = 200;
    /** The sequence number of set-ups and their answers. */
    static final int SET_UP = 1;
    private static final String[] METHODS = {"SETUP", "TEARDOWN", "OPTIONS", "ANNOUNCE", "REDIRECT", "SET_PARAMETER"};

    /** Bytes that are no message: nothing that follows on the connection can be trusted. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(String what) {
            super(what, null, false, false);
        }
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** The sequence number, below 0 if there is none. */
    int sequence() {
        String text = field("cseq");
        return text.matches("[0-9]{1,9}") ? Integer.parseInt(text) : -1;
    }

    String session() {
        return field("session");
    }

    /** The cause that a release gives, below 0 where it gives none. */
    int cause() {
        String text = field("reason");
        return text.matches("cause=[0-9]{1,3}") ? Integer.parseInt(text.substring(6)) : -1;
    }

    /** A request; fields are given as they are written, without ends of lines. */
    static byte[] request(String method, String address, int sequence, String session, byte[] body, String... fields) {
        StringBuilder head = new StringBuilder(256).append(method).append(" rtsp://media/").append(address).append(' ')
            .append(VERSION);
        return bytes(head, sequence, session, body, fields);
    }

    static byte[] response(int status, String reason, int sequence, String session) {
        return bytes(new StringBuilder(96).append(VERSION).append(' ').append(status).append(' ').append(reason), sequence,
            session, null);
    }

    private static byte[] bytes(StringBuilder head, int sequence, String session, byte[] body, String... fields) {
        head.append("\r\nCSeq: ").append(sequence).append("\r\nSession: ").append(session);
        for (String field : fields) {
            head.append("\r\n").append(field);
        }
        head.append("\r\nContent-Length: ").append(body == null ? 0 : body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.UTF_8);
        if (body == null || body.length == 0) {
            return start;
        }
        byte[] all = Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    /** Messages out of bytes as they come. Holds no more than one message. */
    static final class Reader {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
        private final List<String> head = new ArrayList<>();
        /** Each line costs more memory than its bytes; media hosts say a handful. */
        private static final int MAX_HEAD_LINES = 128;
        private int headBytes;
        private Rtsp pending;
        private int filled;
        /** The last message had a body whose last line has no end: one that follows was left out of its length. */
        private boolean unendedBody;

        /** Whether a message has begun and not ended. */
        boolean within() {
            return pending != null || !head.isEmpty() || line.size() > 0;
        }

        /** The next whole message, null if more bytes are needed. */
        Rtsp next(ByteBuffer data) throws Unreadable {
            while (data.hasRemaining()) {
                if (pending != null) {
                    int n = Math.min(data.remaining(), pending.body.length - filled);
                    data.get(pending.body, filled, n);
                    filled += n;
                } else {
                    take(data.get());
                }
                if (pending != null && filled == pending.body.length) {
                    Rtsp whole = pending;
                    pending = null;
                    filled = 0;
                    unendedBody = whole.body.length > 0 && whole.body[whole.body.length - 1] != '\n';
                    if (data.hasRemaining()) {
                        checkBehindBody(data.get(data.position()));
                    }
                    check(whole, data);
                    return whole;
                }
            }
            return null;
        }

        private void take(byte b) throws Unreadable {
            if (++headBytes > MOST) {
                throw new Unreadable("a head over " + MOST + " bytes");
            }
            checkBehindBody(b);
            unendedBody = false;
            if (b != '\n') {
                if (b != '\r' && b != '\t' && (b < 32 || b == 127)) {
                    throw new Unreadable("a byte that is no text");
                }
                line.write(b);
                if (head.isEmpty() && !begins(line.toByteArray(), line.size())) {
                    throw new Unreadable("a line that begins no message");
                }
                return;
            }
            String text = text(line.toByteArray());
            line.reset();
            if (head.size() == MAX_HEAD_LINES) {
                throw new Unreadable("a head of over " + MAX_HEAD_LINES + " lines");
            }
            if (!text.isEmpty()) {
                head.add(text);
            } else if (!head.isEmpty()) {
                pending = message(head, MOST - headBytes);
                head.clear();
                headBytes = 0;
            }
        }

        /** An end of line may stand between messages, but not where the body before it has none: it was left out of its length. */
        private void checkBehindBody(byte next) throws Unreadable {
            if (unendedBody && (next == '\r' || next == '\n')) {
                throw new Unreadable("an end of line behind a body without one");
            }
        }

        /** A line's text without its carriage return. */
        private static String text(byte[] line) throws Unreadable {
            String text;
            try {
                text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(line)).toString();
            } catch (CharacterCodingException e) {
                throw new Unreadable("a line that is no text");
            }
            text = text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            if (text.indexOf('\r') >= 0) {
                throw new Unreadable("a carriage return within a line");
            }
            return text;
        }

        /** What follows a message at once must begin another: else its length was not what it said. */
        private static void check(Rtsp whole, ByteBuffer rest) throws Unreadable {
            int from = rest.position();
            while (from < rest.limit() && (rest.get(from) == '\r' || rest.get(from) == '\n')) {
                from++;
            }
            byte[] start = new byte[Math.min(9, rest.limit() - from)];
            rest.get(from, start);
            if (!begins(start, start.length)) {
                throw new Unreadable("more bytes than Content-Length says");
            }
            if (whole.status > 0 && new String(whole.body, StandardCharsets.ISO_8859_1).contains(VERSION)) {
                throw new Unreadable("fewer bytes than Content-Length says");
            }
        }

        private static boolean begins(byte[] bytes, int size) {
            String text = new String(bytes, 0, Math.min(size, 9), StandardCharsets.ISO_8859_1);
            if (text.strip().isEmpty() || (VERSION + " ").startsWith(text)) {
                return true;
            }
            for (String method : METHODS) {
                if ((method + " ").startsWith(text) || text.startsWith(method + " ")
                    || text.length() == 9 && (method + " ").startsWith(text)) {
                    return true;
                }
            }
            return false;
        }

        private static Rtsp message(List<String> head, int maxBody) throws Unreadable {
            String[] first = head.get(0).split(" ", 3);
            if (head.get(0).indexOf(VERSION) != head.get(0).lastIndexOf(VERSION)
                || head.stream().skip(1).anyMatch(line -> line.contains(VERSION))) {
                throw new Unreadable("a message that begins within another's head");
            }
            Map<String, String> fields = fields(head.subList(1, head.size()));
            String length = fields.getOrDefault("content-length", "");
            if (!length.matches("[0-9]{1,5}") || Integer.parseInt(length) > maxBody) {
                throw new Unreadable("a length of " + (length.length() > 40 ? "many digits" : length));
            }
            byte[] body = new byte[Integer.parseInt(length)];
            if (first[0].equals(VERSION)) {
                if (first.length < 2 || !first[1].matches("[1-5][0-9][0-9]")) {
                    throw new Unreadable("a status that is none");
                }
                Rtsp response = new Rtsp(Integer.parseInt(first[1]), "", fields, body);
                boolean nameless = response.sequence() < 0 || response.sequence() == SET_UP && response.session().isEmpty();
                if (response.status >= FIRST_FINAL_STATUS && nameless) {
                    throw new Unreadable("an answer that does not say to what");
                }
                return response;
            }
            if (first.length != 3 || !first[2].equals(VERSION)) {
                throw new Unreadable("a first line that is none");
            }
            return new Rtsp(0, first[0], fields, body);
        }

        private static Map<String, String> fields(List<String> lines) throws Unreadable {
            Map<String, String> fields = new HashMap<>();
            for (String line : lines) {
                int colon = line.indexOf(':');
                if (colon <= 0 || !FIELD_NAME.matcher(line.substring(0, colon)).matches()) {
                    throw new Unreadable("a field without a name");
                }
                String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
                if (fields.put(name, line.substring(colon + 1).strip()) != null && SINGLE_FIELDS.contains(name)) {
                    throw new Unreadable("two fields " + name);
                }
            }
            return fields;
        }
    }
}
