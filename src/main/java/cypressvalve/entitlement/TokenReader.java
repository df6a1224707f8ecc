package cypressvalve.entitlement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.crypto.tink.InsecureSecretKeyAccess;
import com.google.crypto.tink.KeysetHandle;
import com.google.crypto.tink.RegistryConfiguration;
import com.google.crypto.tink.TinkJsonProtoKeysetFormat;
import com.google.crypto.tink.jwt.JwtInvalidException;
import com.google.crypto.tink.jwt.JwtMac;
import com.google.crypto.tink.jwt.JwtMacConfig;
import com.google.crypto.tink.jwt.JwtPublicKeyVerify;
import com.google.crypto.tink.jwt.JwtSignatureConfig;
import com.google.crypto.tink.jwt.JwtValidator;
import com.google.crypto.tink.jwt.VerifiedJwt;
import java.security.GeneralSecurityException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads compact JSON web tokens (RFC 7519) signed by a key of a set, public keys or MAC keys. A key says which algorithm
 * it is for, so a token can't choose another (RFC 8725, section 3.1). The set can be replaced while tokens are read.
 */
public final class TokenReader {
    /** Beyond this a token is not looked at: those issued have some hundreds of characters. */
    static final int LONGEST = 4096;
    private static final int LONGEST_NAME = 128;
    private static final int MOST_ENTRIES = 64;

    private interface Verify {
        VerifiedJwt of(String token, JwtValidator validator) throws GeneralSecurityException;
    }

    /** A text that entitles to nothing. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1;
        private final Refusal why;

        Refused(Refusal why) {
            super(why.name());
            this.why = why;
        }

        /** Why. */
        public Refusal why() {
            return why;
        }
    }

    static {
        try {
            JwtSignatureConfig.register();
            JwtMacConfig.register();
        } catch (GeneralSecurityException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String issuer;
    private final Duration skew;
    private volatile Verify verify;

    /**
     * @param keys the key set as JSON in Tink's form; a set of signing keys is good too, its public half is used
     * @param issuer the issuer that tokens must name (iss)
     * @param skew nanoseconds that the issuer's clock may be off, ten minutes at most
     */
    public TokenReader(String keys, String issuer, long skew) throws GeneralSecurityException {
        this.issuer = issuer;
        this.skew = Duration.ofNanos(skew);
        replaceKeys(keys);
    }

    /** Takes a new key set; one that can't be read leaves the old one in force. */
    public void replaceKeys(String keys) throws GeneralSecurityException {
        KeysetHandle handle = TinkJsonProtoKeysetFormat.parseKeyset(keys, InsecureSecretKeyAccess.get());
        verify = verifier(handle);
    }

    private static Verify verifier(KeysetHandle handle) throws GeneralSecurityException {
        try {
            JwtMac mac = handle.getPrimitive(RegistryConfiguration.get(), JwtMac.class);
            return mac::verifyMacAndDecode;
        } catch (GeneralSecurityException notMacs) {
            KeysetHandle open;
            try {
                open = handle.getPublicKeysetHandle();
            } catch (GeneralSecurityException publicAlready) {
                open = handle;
            }
            JwtPublicKeyVerify keys = open.getPrimitive(RegistryConfiguration.get(), JwtPublicKeyVerify.class);
            return keys::verifyAndDecode;
        }
    }

    /**
     * What a text entitles to. Times are looked at here too, as the library verifies nothing without a clock.
     *
     * @param now nanoseconds since 1970
     * @throws Refused if it is no token of these keys and this issuer, over, or says too little
     */
    public Token read(String text, long now) throws Refused {
        if (text == null || text.isEmpty()) {
            throw new Refused(Refusal.MISSING);
        }
        if (text.length() > LONGEST) {
            throw new Refused(Refusal.OVERSIZED);
        }
        try {
            return token(verify.of(text, JwtValidator.newBuilder().expectIssuer(issuer).ignoreAudiences()
                .ignoreTypeHeader().setClockSkew(skew).allowMissingExpiration()
                .setClock(Clock.fixed(Instant.ofEpochSecond(0, now), ZoneOffset.UTC)).build()));
        } catch (JwtInvalidException e) {
            // Signed well; the library tells what of it is not good by its words alone.
            String words = String.valueOf(e.getMessage());
            throw new Refused(words.contains("expired") ? Refusal.EXPIRED
                : words.contains("before") ? Refusal.EARLY : Refusal.INVALID);
        } catch (GeneralSecurityException e) {
            throw new Refused(Refusal.INVALID);
        }
    }

    private static Token token(VerifiedJwt jwt) throws Refused {
        try {
            if (!jwt.hasJwtId() || !jwt.hasExpiration()) {
                throw new Refused(Refusal.CLAIMS);
            }
            String id = jwt.getJwtId();
            String tenant = jwt.hasStringClaim("tenant") ? jwt.getStringClaim("tenant") : "";
            double atOnce = jwt.hasNumberClaim("at_once") ? jwt.getNumberClaim("at_once") : 1;
            if (id.isEmpty() || id.length() > LONGEST_NAME || tenant.length() > LONGEST_NAME || atOnce < 1
                || atOnce > 1_000_000 || atOnce != Math.rint(atOnce)) {
                throw new Refused(Refusal.CLAIMS);
            }
            return new Token(id, tenant, names(jwt, "plans"), names(jwt, "titles"),
                jwt.hasNotBefore() ? nanos(jwt.getNotBefore()) : 0, nanos(jwt.getExpiration()), (int) atOnce);
        } catch (JwtInvalidException | JsonProcessingException | RuntimeException e) {
            throw new Refused(Refusal.CLAIMS);
        }
    }

    private static long nanos(Instant at) {
        // Seconds beyond what nanoseconds can count are for ever.
        return at.getEpochSecond() >= Long.MAX_VALUE / 1_000_000_000L ? Long.MAX_VALUE
            : Math.max(0, at.getEpochSecond()) * 1_000_000_000L;
    }

    private static List<String> names(VerifiedJwt jwt, String claim) throws JwtInvalidException, JsonProcessingException,
        Refused {
        if (!jwt.customClaimNames().contains(claim)) {
            return List.of();
        }
        JsonNode all = JSON.readTree(jwt.getJsonArrayClaim(claim));
        if (all.isEmpty() || all.size() > MOST_ENTRIES) {
            throw new Refused(Refusal.CLAIMS); // An empty list would else mean all.
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : all) {
            if (!name.isTextual() || name.textValue().length() > LONGEST_NAME) {
                throw new Refused(Refusal.CLAIMS);
            }
            names.add(name.textValue());
        }
        return List.copyOf(names);
    }
}
