package cypressvalve.session;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Ids of sessions: the gateway's number, then 96 bits that can't be guessed. */
final class SessionIds {
    private final SecureRandom random = new SecureRandom();
    private final String mark;

    SessionIds(int gateway) {
        mark = "g" + gateway + "-";
    }

    String next() {
        byte[] bytes = new byte[12];
        random.nextBytes(bytes);
        return mark + HexFormat.of().formatHex(bytes);
    }

    boolean mine(String id) {
        return id.startsWith(mark);
    }
}
