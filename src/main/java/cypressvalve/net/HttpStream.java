package cypressvalve.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * The body of one HTTP/1.1 response as it comes (RFC 9112), plain or chunked: what an event stream needs where the whole
 * HTTP library has no room.
 */
public final class HttpStream {
    /** Bytes that a head or the line of a chunk may have. */
    private static final int MOST = 16 * 1024;

    /** Bytes that are no response, or one that is none of success. */
    public static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(String what) {
            super(what, null, false, false);
        }
    }

    private enum Part { STATUS, FIELDS, PLAIN, SIZE, CHUNK, CHUNK_END, OVER }

    private final Consumer<ByteBuffer> body;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private Part part = Part.STATUS;
    private boolean chunked;
    private int left;
    private int head;

    /** @param body takes the body's bytes, all of each buffer */
    public HttpStream(Consumer<ByteBuffer> body) {
        this.body = body;
    }

    /** Takes the next bytes. */
    public void take(ByteBuffer data) throws Unreadable {
        while (data.hasRemaining() && part != Part.OVER) {
            if (part == Part.PLAIN) {
                body.accept(data);
            } else if (part == Part.CHUNK) {
                int n = Math.min(left, data.remaining());
                ByteBuffer some = data.slice();
                some.limit(n);
                body.accept(some);
                data.position(data.position() + n);
                left -= n;
                part = left == 0 ? Part.CHUNK_END : part;
            } else {
                byte b = data.get();
                if (b == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1).strip();
                    line.reset();
                    take(text);
                } else {
                    line.write(b);
                    if (++head > MOST) {
                        throw new Unreadable("a head over " + MOST + " bytes");
                    }
                }
            }
        }
    }

    /** Whether the head is through. */
    public boolean body() {
        return part != Part.STATUS && part != Part.FIELDS;
    }

    /** Whether the body has ended by its own word. */
    public boolean over() {
        return part == Part.OVER;
    }

    private void take(String text) throws Unreadable {
        switch (part) {
            case STATUS -> {
                if (!text.matches("HTTP/1\\.[01] 200( .*)?")) {
                    throw new Unreadable(text.length() > 80 ? "no status" : text);
                }
                part = Part.FIELDS;
            }
            case FIELDS -> {
                String field = text.toLowerCase(Locale.ROOT);
                chunked |= field.startsWith("transfer-encoding:") && field.endsWith("chunked");
                if (text.isEmpty()) {
                    part = chunked ? Part.SIZE : Part.PLAIN;
                    head = 0;
                }
            }
            case SIZE -> {
                String size = text.split(";", 2)[0].strip();
                if (!size.matches("[0-9a-fA-F]{1,7}")) {
                    throw new Unreadable("no size of a chunk");
                }
                left = Integer.parseInt(size, 16);
                head = 0;
                part = left == 0 ? Part.OVER : Part.CHUNK;
            }
            default -> part = Part.SIZE;
        }
    }
}
