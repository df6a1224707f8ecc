package cypressvalve.front.signal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * One message of viewers: its type, the session that it names and its parameters, as the platform's protocol page has
 * them.
 *
 * @param whole false if the parameters do not fill the message as they say
 */
record Signal(int type, long session, Map<Integer, byte[]> parameters, boolean whole) {
    static final int SET_UP = 1;
    static final int PROGRESS = 6;
    static final int ANSWER = 9;
    static final int RELEASE = 12;
    static final int RELEASE_HEARD = 16;
    static final int NOTE = 44;
    static final int MOVE = 51;
    static final int TEST = 52;
    static final int TESTED = 53;
    static final int RUNG = 60;

    static final int PLAN = 129;
    static final int WAIT = 132;
    static final int TENANT = 135;
    static final int TITLE = 141;
    static final int FIGURES = 144;
    static final int HINT = 159;
    static final int CAUSE = 171;
    static final int DESCRIPTION = 174;

    /** Bytes that a message may have behind its length. */
    static final int MOST = 16 * 1024;
    /** Type and session. */
    private static final int LEAST = 9;

    /** Bytes that are no message. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(String what) {
            super(what, null, false, false);
        }
    }

    /** The text of a parameter, null if it is absent. */
    String text(int code) {
        byte[] value = parameters.get(code);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** The session as other protocols write it. */
    String id() {
        return id(session);
    }

    static String id(long session) {
        String hex = Long.toHexString(session);
        return "0".repeat(16 - hex.length()) + hex;
    }

    static long session(String id) {
        return Long.parseUnsignedLong(id, 16);
    }

    /** A message with no parameter, or one. */
    static byte[] message(int type, long session, int code, byte[] value) {
        int length = LEAST + (value == null ? 0 : 3 + value.length);
        ByteBuffer out = ByteBuffer.allocate(2 + length);
        out.putShort((short) length).put((byte) type).putLong(session);
        if (value != null) {
            out.put((byte) code).putShort((short) value.length).put(value);
        }
        return out.array();
    }

    static byte[] message(int type, long session, int cause) {
        return message(type, session, CAUSE, new byte[] {(byte) cause});
    }

    /** Messages out of bytes as they come. Holds one message at most. */
    static final class Reader {
        private static final int USUAL_BYTES = 256;
        private byte[] message = new byte[USUAL_BYTES];
        private int filled;
        private int length = -1;

        /** Whether a message has begun and not ended. */
        boolean within() {
            return filled > 0;
        }

        /** Bytes that are held for a message which is longer than usual and not whole. */
        int heldBytes() {
            return message.length - USUAL_BYTES;
        }

        /** The next whole message, null if more bytes are needed. */
        Signal next(ByteBuffer data) throws Unreadable {
            while (data.hasRemaining()) {
                if (length < 0) {
                    message[filled++] = data.get();
                    if (filled == 2) {
                        length = (message[0] & 0xff) << 8 | message[1] & 0xff;
                        if (length < LEAST || length > MOST) {
                            throw new Unreadable("length " + length);
                        }
                    }
                } else {
                    int n = Math.min(data.remaining(), 2 + length - filled);
                    hold(filled + n);
                    data.get(message, filled, n);
                    filled += n;
                }
                if (length >= 0 && filled == 2 + length) {
                    Signal signal = signal(ByteBuffer.wrap(message, 2, length));
                    filled = 0;
                    length = -1;
                    if (message.length > USUAL_BYTES) {
                        message = new byte[USUAL_BYTES];
                    }
                    return signal;
                }
            }
            return null;
        }

        /** Room for what has come, not for what a length says: that costs its sender nothing. */
        private void hold(int bytes) {
            if (message.length < bytes) {
                message = Arrays.copyOf(message, Math.min(2 + length, Math.max(bytes, 2 * message.length)));
            }
        }

        private static Signal signal(ByteBuffer in) {
            int type = in.get() & 0xff;
            long session = in.getLong();
            Map<Integer, byte[]> parameters = new HashMap<>();
            while (in.remaining() >= 3) {
                int code = in.get() & 0xff;
                int length = in.getShort() & 0xffff;
                if (length > in.remaining()) {
                    return new Signal(type, session, parameters, false);
                }
                byte[] value = new byte[length];
                in.get(value);
                if (parameters.put(code, value) != null) {
                    return new Signal(type, session, parameters, false);
                }
            }
            return new Signal(type, session, parameters, !in.hasRemaining());
        }
    }
}
