package cypressvalve.front.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.Doc;
import cypressvalve.config.Service;
import cypressvalve.session.Ask;
import java.security.GeneralSecurityException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Playlists by the RFC's MUSTs, session URIs that can't be forged, requests that reach no decision. */
class HlsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Service SERVICE = service();

    private static Service service() {
        Doc doc = Doc.parse("test", """
            service:
              ladder: [100, 200, 400]
              revenue: [0.3, 0.6, 1]
              plans:
                - {name: plain, startup: 1s, abandon: 4s}
                - {name: air, startup: 1s, abandon: 4s, live: true}
              tenants: [{name: north}]
              titles:
                - {key: t, length: 60s, first: 0, copies: 2}
                - {key: l, live: true, first: 0, copies: 2}
              fleet: {cells: 3, link: 4000, kinds: [{name: std, places: 20}]}
            """);
        Service service = Service.read(doc.root().section("service"));
        doc.verify();
        return service;
    }

    @ParameterizedTest
    @CsvSource({"60000,1000,60", "61000,2000,31", "1500,1000,2", "999,4000,1", "10000,1500,7"})
    void aRecordedPlaylistKeepsTheRfc(long lengthMs, long segmentMs, int segments) {
        String playlist = Playlists.recorded(lengthMs * 1_000_000, segmentMs * 1_000_000);
        assertEquals(List.of(), PlaylistChecker.faults(playlist));
        assertEquals(segments, playlist.lines().filter(l -> l.endsWith(".ts")).count());
        double sum = playlist.lines().filter(l -> l.startsWith("#EXTINF:"))
            .mapToDouble(l -> Double.parseDouble(l.substring(8, l.indexOf(',')))).sum();
        assertEquals(lengthMs / 1000.0, sum, 0.001 * segments);
    }

    @Test
    void aLivePlaylistKeepsTheRfcAsItSlides() {
        String before = null;
        for (long now = 1_000_000 * SECOND; now < 1_000_020 * SECOND; now += SECOND / 3) {
            String playlist = Playlists.live(now, SECOND, 6);
            assertEquals(List.of(), PlaylistChecker.faults(playlist));
            assertFalse(playlist.contains("ENDLIST"));
            if (before != null) {
                assertEquals(List.of(), PlaylistChecker.change(before, playlist));
            }
            before = playlist;
        }
    }

    @Test
    void theMultivariantPlaylistKeepsTheRfc() {
        assertEquals(List.of(), PlaylistChecker.faults(Playlists.multivariant("/s/x/media.m3u8", 5_000_000, 4_000_000)));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "#EXT-X-VERSION:3~#EXTM3U~#EXT-X-TARGETDURATION:1",
        "#EXTM3U~#EXTINF:1.0,~0.ts",
        "#EXTM3U~#EXT-X-TARGETDURATION:1~#EXTINF:1.0,~0.ts",
        "#EXTM3U~#EXT-X-VERSION:3~#EXT-X-TARGETDURATION:1~#EXTINF:1.6,~0.ts",
        "#EXTM3U~#EXT-X-VERSION:3~#EXT-X-TARGETDURATION:2~0.ts",
        "#EXTM3U~#EXT-X-STREAM-INF:CODECS=\"x\"~a.m3u8",
        "#EXTM3U~#EXT-X-STREAM-INF:BANDWIDTH=1",
        "#EXTM3U~#EXT-X-STREAM-INF:BANDWIDTH=1~a.m3u8~#EXT-X-ENDLIST",
        "#EXTM3U~#EXT-X-TARGETDURATION:1~#EXT-X-TARGETDURATION:1"})
    void theCheckerFindsWhatIsWrong(String playlist) {
        assertFalse(PlaylistChecker.faults(playlist.replace('~', '\n')).isEmpty());
    }

    @Test
    void aSessionsUriHoldsUntilItExpiresAndCantBeChanged() throws GeneralSecurityException {
        String keys = SessionUris.freshKeys();
        SessionUris uris = new SessionUris(keys);
        String[] p = uris.path(new SessionUris.Named("t", "g0-abc", 2000)).split("/");
        assertNotNull(uris.verified(p[2], p[3], p[4], p[5], 2000));
        assertNull(uris.verified(p[2], p[3], p[4], p[5], 2001), "expired");
        assertNull(uris.verified("other", p[3], p[4], p[5], 1000), "another title");
        assertNull(uris.verified(p[2], "g0-abd", p[4], p[5], 1000), "another session");
        assertNull(uris.verified(p[2], p[3], Long.toString(9000, 36), p[5], 1000), "a longer life");
        assertNull(uris.verified(p[2], p[3], "", p[5], 1000));
        assertNull(uris.verified(p[2], p[3], p[4], "", 1000), "no tag");
        assertNull(uris.verified(p[2], p[3], p[4], p[5] + "!", 1000), "no base64");
        assertNull(uris.verified(p[2], p[3], p[4], "A".repeat(100_000), 1000), "a huge tag");
        for (int cut = 1; cut < p[5].length(); cut++) {
            assertNull(uris.verified(p[2], p[3], p[4], p[5].substring(0, cut), 1000), "a cut tag");
        }
        assertNull(new SessionUris(SessionUris.freshKeys()).verified(p[2], p[3], p[4], p[5], 1000), "a foreign key");
    }

    @Test
    void aRotatedKeySetSignsWithTheNewKeyAndVerifiesBoth() throws GeneralSecurityException {
        String keys = SessionUris.freshKeys();
        SessionUris old = new SessionUris(keys);
        SessionUris both = new SessionUris(SessionUris.rotated(keys));
        String[] before = old.path(new SessionUris.Named("t", "s", 50)).split("/");
        assertNotNull(both.verified(before[2], before[3], before[4], before[5], 1));
        String[] after = both.path(new SessionUris.Named("t", "s", 50)).split("/");
        assertNull(old.verified(after[2], after[3], after[4], after[5], 1));
        old.replaceKeys(SessionUris.rotated(keys));
        assertThrows(GeneralSecurityException.class, () -> old.replaceKeys("{}"));
        assertNotNull(old.verified(before[2], before[3], before[4], before[5], 1), "a bad set leaves the old one");
    }

    private static Ask read(Map<String, String> query, String prefer, String cmcd) throws AskReader.Refused {
        Map<String, String> all = new HashMap<>(Map.of("plan", "plain", "tenant", "north"));
        all.putAll(query);
        return AskReader.read(SERVICE, "t", all, prefer, cmcd);
    }

    @Test
    void theAbandonTimeIsThePreferenceWithThePlansAsBound() throws AskReader.Refused {
        assertEquals(4 * SECOND, read(Map.of(), null, null).patience());
        assertEquals(2 * SECOND, read(Map.of(), "wait=2", null).patience());
        assertEquals(4 * SECOND, read(Map.of(), "respond-async, wait=100", null).patience());
        assertEquals(1 * SECOND, read(Map.of(), "wait=0", null).patience());
        assertEquals(4 * SECOND, read(Map.of(), "wait=soon", null).patience(), "what can't be read is no preference");
        assertEquals(4 * SECOND, read(Map.of(), "wait=99999999999999999999", null).patience());
        assertEquals(3 * SECOND, read(Map.of(), "Wait=\"3\"; x", null).patience());
    }

    @Test
    void theViewerIsKnownByItsCmcdSession() throws AskReader.Refused {
        assertEquals("6e2fb550", read(Map.of(), null, "cid=\"c\",sid=\"6e2fb550\",v=1").viewer());
        assertEquals("q", read(Map.of("CMCD", "br=3200,sid=\"q\",su"), null, null).viewer());
        assertEquals("", read(Map.of(), null, "sid=").viewer());
        assertEquals("", read(Map.of(), null, "sid=\"" + "x".repeat(65) + "\"").viewer());
        assertEquals("", read(Map.of(), null, "\u0000").viewer());
    }

    @ParameterizedTest
    @CsvSource({"plan,gold,400", "tenant,south,400", "screen,-1,400", "screen,99999999999999999999,400",
        "hint,1.5,400", "plan,air,400"})
    void aRequestThatIsWrongReachesNoDecision(String field, String value, int status) {
        AskReader.Refused refused = assertThrows(AskReader.Refused.class, () -> read(Map.of(field, value), null, null));
        assertEquals(status, refused.status());
        assertTrue(refused.getMessage().contains("expected"), refused.getMessage());
    }

    @Test
    void anUnknownTitleIsNotFound() {
        assertEquals(404, assertThrows(AskReader.Refused.class, () -> AskReader.read(SERVICE, "../t",
            Map.of("plan", "plain", "tenant", "north"), null, null)).status());
    }
}
