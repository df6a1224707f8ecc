package cypressvalve.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.function.ToLongFunction;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Numbers for viewers: by a keyed hash nobody without the key can tell whose; by a plain one whoever guesses can. */
public final class Ids {
    /** RFC 2104 wants a key not shorter than the hash. */
    public static final int LEAST_KEY_BYTES = 32;

    private Ids() {
    }

    /** SHA-256, cut to 64 bits. */
    public static ToLongFunction<String> plain() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return text -> ByteBuffer.wrap(digest.digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** HMAC-SHA256 (RFC 2104), cut to 64 bits. */
    public static ToLongFunction<String> keyed(byte[] key) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
            return text -> ByteBuffer.wrap(mac.doFinal(text.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
