package cypressvalve.entitlement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.crypto.tink.InsecureSecretKeyAccess;
import com.google.crypto.tink.KeyTemplates;
import com.google.crypto.tink.KeysetHandle;
import com.google.crypto.tink.RegistryConfiguration;
import com.google.crypto.tink.TinkJsonProtoKeysetFormat;
import com.google.crypto.tink.jwt.JwtMac;
import com.google.crypto.tink.jwt.JwtMacConfig;
import com.google.crypto.tink.jwt.JwtPublicKeySign;
import com.google.crypto.tink.jwt.JwtSignatureConfig;
import com.google.crypto.tink.jwt.RawJwt;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import java.util.function.UnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What a token must be, what it is good for, and what renews it. */
class TokensTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_800_000_000L * SECOND;
    private static final long SKEW = 30 * SECOND;
    private static final long GRACE = 60 * SECOND;
    private static final KeysetHandle SIGNS = keys("JWT_ES256");
    private static final KeysetHandle MACS = keys("JWT_HS256");
    private final Terms terms = new Terms(SKEW, GRACE);

    private static KeysetHandle keys(String template) {
        try {
            JwtSignatureConfig.register();
            JwtMacConfig.register();
            return KeysetHandle.generateNew(KeyTemplates.get(template));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String json(KeysetHandle keys) throws GeneralSecurityException {
        return TinkJsonProtoKeysetFormat.serializeKeyset(keys, InsecureSecretKeyAccess.get());
    }

    private static RawJwt.Builder usual() throws GeneralSecurityException {
        return RawJwt.newBuilder().setIssuer("bank").setJwtId("t1").addStringClaim("tenant", "north")
            .addJsonArrayClaim("plans", "[\"gold\"]").addJsonArrayClaim("titles", "[\"rates-*\", \"news\"]")
            .addNumberClaim("at_once", 2).setNotBefore(Instant.ofEpochSecond(1_799_999_900L))
            .setExpiration(Instant.ofEpochSecond(1_800_000_300L));
    }

    private static String signed(KeysetHandle keys, RawJwt jwt) throws GeneralSecurityException {
        return keys.getPrimitive(RegistryConfiguration.get(), JwtPublicKeySign.class).signAndEncode(jwt);
    }

    private static TokenReader reader(KeysetHandle keys) throws GeneralSecurityException {
        return new TokenReader(json(keys), "bank", SKEW);
    }

    private static Refusal refused(TokenReader reader, String text) {
        return assertThrows(TokenReader.Refused.class, () -> reader.read(text, NOW)).why();
    }

    private static Refusal refused(UnaryOperator<RawJwt.Builder> change) throws GeneralSecurityException {
        return refused(reader(SIGNS), signed(SIGNS, change.apply(usual()).build()));
    }

    @Test
    void aGoodTokenSaysWhatItEntitlesTo() throws Exception {
        Token t = reader(SIGNS).read(signed(SIGNS, usual().build()), NOW);
        assertEquals(new Token("t1", "north", List.of("gold"), List.of("rates-*", "news"), 1_799_999_900L * SECOND,
            1_800_000_300L * SECOND, 2), t);
        KeysetHandle open = SIGNS.getPublicKeysetHandle();
        assertEquals(t, reader(open).read(signed(SIGNS, usual().build()), NOW), "the public half is enough");
        String mac = MACS.getPrimitive(RegistryConfiguration.get(), JwtMac.class).computeMacAndEncode(usual().build());
        assertEquals(t, reader(MACS).read(mac, NOW));
    }

    @Test
    void aTokenOfOtherKeysOrAnotherAlgorithmIsNone() throws Exception {
        String good = signed(SIGNS, usual().build());
        assertEquals(Refusal.INVALID, refused(reader(keys("JWT_ES256")), good), "a key that is not in the set");
        String mac = MACS.getPrimitive(RegistryConfiguration.get(), JwtMac.class).computeMacAndEncode(usual().build());
        assertEquals(Refusal.INVALID, refused(reader(SIGNS), mac));
        String[] parts = good.split("\\.");
        String none = Base64.getUrlEncoder().withoutPadding().encodeToString("{\"alg\":\"none\"}"
            .getBytes(StandardCharsets.UTF_8));
        assertEquals(Refusal.INVALID, refused(reader(SIGNS), none + "." + parts[1] + "."));
        String hs = Base64.getUrlEncoder().withoutPadding().encodeToString("{\"alg\":\"HS256\"}"
            .getBytes(StandardCharsets.UTF_8));
        assertEquals(Refusal.INVALID, refused(reader(SIGNS), hs + "." + parts[1] + "." + parts[2]));
        assertEquals(Refusal.INVALID, refused(reader(SIGNS), good.substring(0, good.length() - 4)), "cut");
        assertEquals(Refusal.OVERSIZED, refused(reader(SIGNS), good + "A".repeat(TokenReader.LONGEST)));
        assertEquals(Refusal.MISSING, refused(reader(SIGNS), ""));
        assertEquals(Refusal.MISSING, refused(reader(SIGNS), null));
    }

    @Test
    void timesHoldWithinTheSkewAndNoLonger() throws Exception {
        assertEquals(Refusal.EXPIRED, refused(b -> b.setExpiration(Instant.ofEpochSecond(1_800_000_000L - 31))));
        assertEquals(Refusal.EARLY, refused(b -> b.setNotBefore(Instant.ofEpochSecond(1_800_000_000L + 31))));
        TokenReader reader = reader(SIGNS);
        assertEquals((1_800_000_000L - 29) * SECOND, reader.read(signed(SIGNS, usual()
            .setExpiration(Instant.ofEpochSecond(1_800_000_000L - 29)).build()), NOW).until());
        assertEquals((1_800_000_000L + 29) * SECOND, reader.read(signed(SIGNS, usual()
            .setNotBefore(Instant.ofEpochSecond(1_800_000_000L + 29)).build()), NOW).from());
    }

    @Test
    void whatSaysTooLittleOrTheWrongKindIsRefused() throws Exception {
        assertEquals(Refusal.INVALID, refused(b -> b.setIssuer("mallory")));
        assertEquals(Refusal.CLAIMS, refused(reader(SIGNS), signed(SIGNS, RawJwt.newBuilder().setIssuer("bank")
            .setExpiration(Instant.ofEpochSecond(1_800_000_300L)).build())), "no name");
        assertEquals(Refusal.CLAIMS, refused(reader(SIGNS), signed(SIGNS, RawJwt.newBuilder().setIssuer("bank")
            .setJwtId("t").withoutExpiration().build())), "for ever");
        for (String plans : List.of("[]", "[1]", "[null]", "[[\"gold\"]]")) {
            assertEquals(Refusal.CLAIMS, refused(b -> {
                try {
                    return b.addJsonArrayClaim("plans", plans);
                } catch (GeneralSecurityException e) {
                    throw new IllegalStateException(e);
                }
            }), plans);
        }
        assertEquals(Refusal.CLAIMS, refused(b -> b.addNumberClaim("at_once", 0)));
        assertEquals(Refusal.CLAIMS, refused(b -> b.addNumberClaim("at_once", 1.5)));
    }

    @Test
    void aRotatedSetReadsTokensOfBothKeysAndABadSetChangesNothing() throws Exception {
        TokenReader reader = reader(SIGNS);
        String old = signed(SIGNS, usual().build());
        KeysetHandle both = KeysetHandle.newBuilder(SIGNS).addEntry(KeysetHandle.generateEntryFromParameters(
            com.google.crypto.tink.jwt.JwtEcdsaParameters.builder().setAlgorithm(
                com.google.crypto.tink.jwt.JwtEcdsaParameters.Algorithm.ES256).setKidStrategy(
                com.google.crypto.tink.jwt.JwtEcdsaParameters.KidStrategy.BASE64_ENCODED_KEY_ID).build())
            .withRandomId().makePrimary()).build();
        String fresh = signed(both, usual().build());
        assertEquals(Refusal.INVALID, refused(reader, fresh));
        assertThrows(GeneralSecurityException.class, () -> reader.replaceKeys("{\"half"));
        assertEquals("t1", reader.read(old, NOW).id());
        reader.replaceKeys(json(both));
        assertEquals("t1", reader.read(old, NOW).id());
        assertEquals("t1", reader.read(fresh, NOW).id());
    }

    @Property(tries = 300)
    void anyTextIsReadOrRefusedAndNothingElse(@ForAll String text) throws GeneralSecurityException {
        Refusal why = refused(reader(SIGNS), text);
        assertTrue(why == Refusal.INVALID || why == Refusal.MISSING || why == Refusal.OVERSIZED, why + " " + text);
    }

    private static final Token TOKEN = new Token("t1", "north", List.of("gold"), List.of("rates-*", "news"),
        NOW - 100 * SECOND, NOW + 300 * SECOND, 2);

    private Refusal refuses(String tenant, String plan, String title, long now) {
        return terms.refuses(TOKEN, new Terms.Wanted(tenant, plan, title, now));
    }

    @Test
    void aTokenIsGoodForItsTenantPlansAndTitles() {
        assertNull(refuses("north", "gold", "rates-2026", NOW));
        assertNull(refuses("north", "gold", "news", NOW));
        assertEquals(Refusal.TENANT, refuses("south", "gold", "news", NOW), "replayed at another tenant");
        assertEquals(Refusal.PLAN, refuses("north", "silver", "news", NOW));
        assertEquals(Refusal.TITLE, refuses("north", "gold", "news-2", NOW));
        Token all = new Token("t2", "", List.of(), List.of(), 0, Long.MAX_VALUE, 1);
        assertNull(terms.refuses(all, new Terms.Wanted("", "any", "thing", NOW)));
        assertTrue(Refusal.EXPIRED.anotherTokenHelps() && !Refusal.TITLE.anotherTokenHelps());
    }

    @Test
    void timesOfATokenHoldWithTheSkewToTheNanosecond() {
        assertNull(refuses("north", "gold", "news", TOKEN.until() + SKEW));
        assertEquals(Refusal.EXPIRED, refuses("north", "gold", "news", TOKEN.until() + SKEW + 1));
        assertNull(refuses("north", "gold", "news", TOKEN.from() - SKEW));
        assertEquals(Refusal.EARLY, refuses("north", "gold", "news", TOKEN.from() - SKEW - 1));
    }

    @Test
    void aRenewalBearsTheSameNameAndIsGoodNow() {
        Terms.Wanted wanted = new Terms.Wanted("north", "gold", "news", NOW);
        Token longer = new Token("t1", "north", List.of("gold"), List.of(), 0, NOW + 900 * SECOND, 2);
        assertNull(terms.refusesRenewal("t1", longer, wanted));
        assertTrue(terms.endsAt(longer) > terms.endsAt(TOKEN));
        assertEquals(Refusal.OTHER, terms.refusesRenewal("t9", longer, wanted));
        Token shorter = new Token("t1", "north", List.of(), List.of(), 0, NOW + SECOND, 2);
        assertNull(terms.refusesRenewal("t1", shorter, wanted), "a withdrawal");
        Token over = new Token("t1", "north", List.of(), List.of(), 0, NOW - 31 * SECOND, 2);
        assertEquals(Refusal.EXPIRED, terms.refusesRenewal("t1", over, wanted), "a renewal that is over itself");
        assertEquals(TOKEN.until() + SKEW + GRACE, terms.endsAt(TOKEN));
        assertEquals(Long.MAX_VALUE, terms.endsAt(new Token("t", "", List.of(), List.of(), 0, Long.MAX_VALUE, 1)));
    }
}
