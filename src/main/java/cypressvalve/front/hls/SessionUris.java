package cypressvalve.front.hls;

import com.google.crypto.tink.InsecureSecretKeyAccess;
import com.google.crypto.tink.KeysetHandle;
import com.google.crypto.tink.Mac;
import com.google.crypto.tink.RegistryConfiguration;
import com.google.crypto.tink.TinkJsonProtoKeysetFormat;
import com.google.crypto.tink.mac.MacConfig;
import com.google.crypto.tink.mac.PredefinedMacParameters;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Base64;

/**
 * URIs that belong to one session: a MAC over session, title and expiry, by a key set whose primary key signs and
 * whose other keys still verify, told apart by key id. The set can be replaced while sessions play.
 */
public final class SessionUris {
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
    private static final int LONGEST_TAG = 128;

    private volatile Mac mac;

    static {
        try {
            MacConfig.register();
        } catch (GeneralSecurityException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    /** What a valid URI names. */
    public record Named(String title, String session, long expires) { }

    /** @param keys the key set as JSON, in Tink's form */
    public SessionUris(String keys) throws GeneralSecurityException {
        replaceKeys(keys);
    }

    /** A fresh key set of one key, as JSON, for the keys file of a new installation. */
    public static String freshKeys() {
        try {
            KeysetHandle handle = KeysetHandle.newBuilder().addEntry(KeysetHandle
                .generateEntryFromParameters(PredefinedMacParameters.HMAC_SHA256_128BITTAG)
                .withRandomId().makePrimary()).build();
            return TinkJsonProtoKeysetFormat.serializeKeyset(handle, InsecureSecretKeyAccess.get());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A key set with a new primary key; the keys of the old set still verify. */
    public static String rotated(String keys) throws GeneralSecurityException {
        KeysetHandle old = TinkJsonProtoKeysetFormat.parseKeyset(keys, InsecureSecretKeyAccess.get());
        KeysetHandle handle = KeysetHandle.newBuilder(old).addEntry(KeysetHandle
            .generateEntryFromParameters(PredefinedMacParameters.HMAC_SHA256_128BITTAG).withRandomId().makePrimary())
            .build();
        return TinkJsonProtoKeysetFormat.serializeKeyset(handle, InsecureSecretKeyAccess.get());
    }

    /** Takes a new key set; one that can't be read leaves the old one in force. */
    public void replaceKeys(String keys) throws GeneralSecurityException {
        KeysetHandle handle = TinkJsonProtoKeysetFormat.parseKeyset(keys, InsecureSecretKeyAccess.get());
        mac = handle.getPrimitive(RegistryConfiguration.get(), Mac.class);
    }

    /** The path under which the session's playlists and segments lie, without a closing slash. */
    public String path(Named named) {
        try {
            String tag = ENCODER.encodeToString(mac.computeMac(text(named)));
            return "/s/" + named.title + "/" + named.session + "/" + Long.toString(named.expires, 36) + "/" + tag;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * What a path names, if this service signed it. The texts are the path's parts as they stand.
     *
     * @param now seconds since 1970
     * @return null if it is forged, cut or expired
     */
    public Named verified(String title, String session, String expiry, String tag, long now) {
        if (tag.length() > LONGEST_TAG || expiry.length() > 13) {
            return null;
        }
        try {
            Named named = new Named(title, session, Long.parseLong(expiry, 36));
            mac.verifyMac(Base64.getUrlDecoder().decode(tag), text(named));
            return named.expires >= now ? named : null;
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return null;
        }
    }

    /** Titles and sessions hold no line break, so no two triples make one text. */
    private static byte[] text(Named named) {
        return (named.title + "\n" + named.session + "\n" + named.expires).getBytes(StandardCharsets.UTF_8);
    }
}
