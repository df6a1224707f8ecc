package cypressvalve.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.crypto.tink.InsecureSecretKeyAccess;
import com.google.crypto.tink.KeyTemplates;
import com.google.crypto.tink.KeysetHandle;
import com.google.crypto.tink.RegistryConfiguration;
import com.google.crypto.tink.TinkJsonProtoKeysetFormat;
import com.google.crypto.tink.jwt.JwtPublicKeySign;
import com.google.crypto.tink.jwt.JwtSignatureConfig;
import com.google.crypto.tink.jwt.RawJwt;
import cypressvalve.config.GatewaySettings;
import cypressvalve.tape.TapeRecord;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tokens on real sockets: who is let in, how many at once, what a renewal and an end do. */
class EntitlementTest {
    @TempDir
    Path directory;

    private KeysetHandle keys;

    private Scene scene(int hosts) throws Exception {
        JwtSignatureConfig.register();
        keys = KeysetHandle.generateNew(KeyTemplates.get("JWT_ES256"));
        Path file = Files.writeString(directory.resolve("issuer.json"), TinkJsonProtoKeysetFormat.serializeKeyset(
            keys.getPublicKeysetHandle(), InsecureSecretKeyAccess.get()));
        return Scene.entitled(hosts, new GatewaySettings.Entitlement(file, "bank", 0, 0));
    }

    private String token(String id, int atOnce, String titles, long seconds) throws Exception {
        RawJwt.Builder jwt = RawJwt.newBuilder().setIssuer("bank").setJwtId(id).addNumberClaim("at_once", atOnce)
            .setExpiration(Instant.now().plusSeconds(seconds));
        if (!titles.isEmpty()) {
            jwt.addJsonArrayClaim("titles", titles);
        }
        return keys.getPrimitive(RegistryConfiguration.get(), JwtPublicKeySign.class).signAndEncode(jwt.build());
    }

    private static HttpResponse<String> renew(Scene.Viewer viewer, String token) throws Exception {
        return HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create(viewer.media()).resolve("token"))
            .header("Authorization", "Bearer " + token).PUT(HttpRequest.BodyPublishers.noBody()).build(),
            HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void whoBringsNoGoodTokenReachesNoDecision() throws Exception {
        try (Scene scene = scene(1)) {
            Scene.Viewer none = scene.watch("v0", 0, "plain");
            assertEquals(401, none.status());
            assertEquals("Bearer", none.response.get().headers().firstValue("WWW-Authenticate").orElse(""));
            Scene.Viewer forged = scene.watch("v1", 0, "plain&access_token=" + token("t", 1, "", 60) + "x");
            assertEquals(401, forged.status());
            assertTrue(forged.response.get().headers().firstValue("WWW-Authenticate").orElse("").contains("invalid_token"));
            Scene.Viewer over = scene.watch("v2", 0, "plain&access_token=" + token("t", 1, "", -5));
            assertEquals(401, over.status());
            Scene.Viewer other = scene.watch("v3", 0, "plain&access_token=" + token("t", 1, "[\"l0\"]", 60));
            assertEquals(403, other.status());
            assertTrue(other.response.get().headers().firstValue("WWW-Authenticate").orElse("")
                .contains("insufficient_scope"));
            assertEquals(List.of(), scene.all("host", "setup"));
            String metrics = scene.get(scene.stage.gatewayUri(0) + "/-/metrics").body();
            for (String why : List.of("missing", "invalid", "expired", "title")) {
                assertTrue(metrics.lines().anyMatch(l -> l.startsWith("cypressvalve_entitlement_refused_total")
                    && l.contains("why=\"" + why + "\"") && l.endsWith(" 1.0")), why + "\n" + metrics);
            }
            assertEquals(200, scene.watch("v4", 0, "plain&access_token=" + token("t", 1, "[\"r*\"]", 60)).status());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aTokenIsHeldByNoMoreAtOnceThanItSaysSetUpsIncluded() throws Exception {
        try (Scene scene = scene(1)) {
            String token = token("t", 2, "", 60);
            scene.host(0).faults().hang = true;
            Scene.Viewer first = scene.watch("a", 0, "plain&access_token=" + token);
            Scene.Viewer retry = scene.watch("a", 0, "plain&access_token=" + token);
            scene.awaitOpening(0, 1);
            Scene.Viewer second = scene.watch("b", 0, "plain&access_token=" + token);
            scene.awaitOpening(0, 2);
            Scene.Viewer third = scene.watch("c", 0, "plain&access_token=" + token);
            assertEquals(503, third.status(), "a set-up that is under way counts");
            assertTrue(third.response.get().headers().firstValueAsLong("Retry-After").orElse(0) >= 5,
                "by then a silent one is known to be gone");
            scene.host(0).faults().hang = false;
            assertEquals(200, first.status());
            assertEquals(200, retry.status());
            assertEquals(200, second.status());
            assertEquals(first.media(), retry.media(), "a retry with the same token is one playback");
            assertEquals(2, scene.onLoop(0, () -> scene.stage.gateway(0).core().heldBy("t")));
            assertEquals(204, scene.delete(first.media()).statusCode());
            assertEquals(200, scene.watch("c", 0, "plain&access_token=" + token).status());
            assertEquals(2, scene.onLoop(0, () -> scene.stage.gateway(0).core().heldBy("t")));
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void whoSaysAnothersSessionIdWithATokenOfItsOwnGetsNothingOfTheOthers() throws Exception {
        try (Scene scene = scene(1)) {
            Scene.Viewer owner = scene.watch("a", 0, "plain&access_token=" + token("t", 1, "", 60));
            assertEquals(200, owner.status());
            Scene.Viewer other = scene.watch("a", 0, "plain&access_token=" + token("u", 1, "", 60));
            assertEquals(200, other.status());
            assertTrue(!owner.media().equals(other.media()));
            assertEquals(1, scene.onLoop(0, () -> scene.stage.gateway(0).core().heldBy("t")));
            assertEquals(1, scene.onLoop(0, () -> scene.stage.gateway(0).core().heldBy("u")));
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void manyWhoRetryAndLeaveWithOneTokenNeverHoldMoreAndNoneIsLost() throws Exception {
        try (Scene scene = scene(2)) {
            String token = token("t", 3, "", 60);
            List<Scene.Viewer> all = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                all.add(scene.watch("v" + i % 8, 0, "plain&access_token=" + token));
            }
            List<String> played = new ArrayList<>();
            for (Scene.Viewer viewer : all) {
                if (viewer.status() == 200) {
                    played.add(viewer.media());
                } else {
                    assertEquals(503, viewer.status());
                }
            }
            assertEquals(3, played.stream().distinct().count());
            assertEquals(3, scene.onLoop(0, () -> scene.stage.gateway(0).core().heldBy("t")));
            for (String media : played.stream().distinct().toList()) {
                assertEquals(204, scene.delete(media).statusCode());
                assertEquals(410, scene.delete(media).statusCode(), "an end told twice");
            }
            assertEquals(0, scene.onLoop(0, () -> scene.stage.gateway(0).core().heldBy("t")));
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aRenewalIsTakenFromTheSameNameOnlyAndAWithdrawalEndsThePlayback() throws Exception {
        try (Scene scene = scene(1)) {
            Scene.Viewer viewer = scene.watch("a", 0, "plain&access_token=" + token("t", 1, "", 60));
            assertEquals(200, viewer.status());
            assertEquals(403, renew(viewer, token("u", 1, "", 900)).statusCode(), "another name's");
            assertEquals(403, renew(viewer, token("t", 1, "[\"l0\"]", 900)).statusCode());
            assertEquals(401, renew(viewer, "nonsense").statusCode());
            assertEquals(204, renew(viewer, token("t", 1, "", 900)).statusCode());
            assertTrue(viewer.segment("0.ts").startsWith("http://"), "plays on");
            assertEquals(204, renew(viewer, token("t", 1, "", 1)).statusCode());
            TapeRecord setup = scene.await("host", "setup", r -> true);
            scene.await("host", "release", r -> r.text("session").equals(setup.text("session")));
            assertEquals("410", viewer.segment("1.ts"));
            assertEquals(0, scene.onLoop(0, () -> scene.stage.gateway(0).core().heldBy("t")));
            assertEquals(Map.of(), scene.broken());
        }
    }
}
