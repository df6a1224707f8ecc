package cypressvalve.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.model.MediaHost;
import cypressvalve.tape.TapeRecord;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The hard cases on the whole path: real sockets, real gateways, judged by the tape. */
class HardCasesTest {
    @Test
    void aViewerGetsAManifestOfItsOwnAndItsSegmentsFromTheHostThatWasChosen() throws Exception {
        try (Scene scene = Scene.of(1, 2)) {
            Scene.Viewer viewer = scene.watch("v", 0, "plain");
            assertEquals(200, viewer.status());
            TapeRecord setup = scene.await("host", "setup", r -> true);
            String playlist = scene.get(viewer.media()).body();
            assertTrue(playlist.contains("#EXT-X-ENDLIST"), playlist);
            String location = viewer.segment("0.ts");
            assertTrue(location.startsWith("http://127.0.0.1:" + scene.host(setup.whole("host")).port()), location);
            assertEquals(200, scene.get(location).statusCode());
            assertEquals(204, scene.delete(viewer.media()).statusCode());
            scene.await("host", "release", r -> r.text("session").equals(setup.text("session")));
            assertEquals("410", viewer.segment("1.ts"));
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void theChosenHostDrainsHalfWayThroughASetUp() throws Exception {
        try (Scene scene = new Scene(1, 2, "5ms", "{time: 0s}")) {
            scene.host(0).faults().hang = true;
            scene.host(1).faults().hang = true;
            Scene.Viewer viewer = scene.watch("v", 0, "plain");
            long first = scene.await("host", "setup", r -> true).whole("host");
            scene.stage.listed((int) first, "draining", 0);
            scene.host(1 - first).faults().hang = false;
            assertEquals(200, viewer.status(), "the other holder serves it");
            scene.awaitHosts(0, MediaHost.State.DRAINING, 1);
            scene.host(first).faults().hang = false;
            for (int i = 0; i < 5; i++) {
                assertEquals(200, scene.watch("w" + i, 0, "plain").status());
            }
            assertEquals(1, scene.all("host", "setup").stream().filter(r -> r.whole("host") == first).count());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aRetryWhileTheFirstTryIsOpenGetsItsOwnAnswerAndNoSecondSetUp() throws Exception {
        try (Scene scene = Scene.of(1, 1)) {
            scene.host(0).faults().hang = true;
            Scene.Viewer first = scene.watch("v", 0, "paid");
            scene.await("host", "setup", r -> true);
            Scene.Viewer retry = scene.watch("v", 0, "paid");
            assertEquals(1, scene.onLoop(0, () -> scene.stage.gateway(0).core()
                .held(cypressvalve.session.Session.State.OPENING)));
            scene.host(0).faults().hang = false;
            assertEquals(200, first.status());
            assertEquals(200, retry.status());
            assertEquals(first.media(), retry.media());
            assertEquals(1, scene.all("host", "setup").size());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aHostThatAnswersAfterTheTimeOutDoesNotPlayOn() throws Exception {
        try (Scene scene = new Scene(1, 1, "1500ms", "{time: 0s}")) {
            scene.host(0).faults().work = 0.02; // Far over the plan's startup target.
            Scene.Viewer viewer = scene.watch("v", 0, "plain");
            TapeRecord setup = scene.await("host", "setup", r -> true);
            assertEquals(503, viewer.status());
            scene.await("host", "release", r -> r.text("session").equals(setup.text("session")) && r.flag("known"));
            assertEquals(0, scene.all("host", "setup-end").stream().filter(r -> r.text("how").equals("started"))
                .count());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void answersLostWhileTheWorkRunsLeaveNothingPlaying() throws Exception {
        try (Scene scene = Scene.of(1, 2)) {
            scene.host(0).faults().answersLost = true;
            scene.host(1).faults().answersLost = true;
            Scene.Viewer paid = scene.watch("p", 0, "paid");
            assertEquals(504, paid.status(), "it may have run, so it is neither tried again nor refused");
            assertEquals(1, scene.all("host", "setup").size());
            Scene.Viewer plain = scene.watch("v", 0, "plain");
            assertEquals(503, plain.status());
            for (TapeRecord lost : scene.all("host", "answer-lost")) {
                scene.await("host", "release", r -> r.text("session").equals(lost.text("session")) && r.flag("known"));
            }
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aHostThatRestartsBetweenListAndSetUpIsTreatedAsColdByThoseWhoSawItBreak() throws Exception {
        try (Scene scene = new Scene(1, 1, "1ms", "{time: 8s, share: 0.4, multiple: 2.5, window: 1s}")) {
            Scene.Viewer viewer = scene.watch("v", 0, "plain");
            assertEquals(200, viewer.status());
            scene.host(0).crash();
            scene.awaitPlaying(0, 0);
            scene.host(0).start(false); // The list still says that it has run for long.
            List<Scene.Viewer> rush = IntStream.range(0, 40).mapToObj(i -> scene.watch("w" + i, 0, "plain")).toList();
            for (Scene.Viewer v : rush) {
                assertTrue(v.status() == 200 || v.status() == 503);
            }
            assertEquals(0, scene.all("host", "fell").size());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void allGatewaysFindingAColdHostAtOnceDoNotPushItOver() throws Exception {
        try (Scene scene = new Scene(3, 1, "1ms", "{time: 8s, share: 0.4, multiple: 2.5, window: 500ms}")) {
            scene.host(0).crash();
            scene.stage.listed(0, "gone", 0);
            for (int g = 0; g < 3; g++) {
                scene.awaitHosts(g, MediaHost.State.GONE, 1);
            }
            scene.host(0).start(false);
            scene.stage.listed(0, "active", 0);
            for (int g = 0; g < 3; g++) {
                scene.awaitHosts(g, MediaHost.State.ACTIVE, 1);
            }
            List<Scene.Viewer> rush = IntStream.range(0, 90)
                .mapToObj(i -> scene.watch("w" + i, i % 3, "plain")).toList();
            int served = 0;
            for (Scene.Viewer v : rush) {
                served += v.status() == 200 ? 1 : 0;
            }
            assertTrue(served > 0, "it does take some");
            assertEquals(0, scene.all("host", "fell").size());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aGatewayKilledAndRestartedWithAnOldListKeepsTheRules() throws Exception {
        try (Scene scene = new Scene(1, 2, "1ms", "{time: 4s, share: 0.4, multiple: 2.5, window: 500ms}")) {
            Scene.Viewer before = scene.watch("v", 0, "plain");
            assertEquals(200, before.status());
            String media = before.media();
            scene.stage.killGateway(0);
            scene.host(0).crash();
            scene.host(0).start(false); // Nobody tells the list, which the new life takes as it is.
            assertTrue(scene.stage.startGateway(0).awaitList(20, java.util.concurrent.TimeUnit.SECONDS));
            String again = media.replaceFirst("http://[^/]*", scene.stage.gatewayUri(0));
            assertEquals(410, scene.get(again).statusCode(), "the session is over, and its URI still known as ours");
            List<Scene.Viewer> rush = IntStream.range(0, 30).mapToObj(i -> scene.watch("w" + i, 0, "plain")).toList();
            for (Scene.Viewer v : rush) {
                assertTrue(v.status() == 200 || v.status() == 503);
            }
            assertEquals(0, scene.all("host", "fell").size());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aListThatDropsAllHostsStopsSetUpsAndEndsNothingThatPlays() throws Exception {
        try (Scene scene = Scene.of(1, 2)) {
            Scene.Viewer playing = scene.watch("v", 0, "plain");
            assertEquals(200, playing.status());
            scene.stage.list().dropAll();
            scene.awaitHosts(0, MediaHost.State.GONE, 2);
            assertEquals(503, scene.watch("w", 0, "plain").status());
            assertTrue(playing.segment("1.ts").startsWith("http://"), "what plays, plays on");
            scene.stage.list().garble("{\"version\": 99, \"whole\": true, \"hosts\": [{\"id\": 1}]}");
            scene.stage.list().garble("{\"version\":");
            scene.stage.list().republish();
            scene.awaitHosts(0, MediaHost.State.ACTIVE, 2);
            assertEquals(200, scene.watch("x", 0, "plain").status());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aListStreamThatBreaksOffOrIsFetchedAnewTellsAllAgainAndPlaybacksGoOn() throws Exception {
        try (Scene scene = Scene.of(1, 2)) {
            Scene.Viewer playing = scene.watch("v", 0, "plain");
            assertEquals(200, playing.status());
            int told = scene.all("list", "told").size();
            scene.stage.list().breakOff();
            scene.await("list", "told", r -> scene.all("list", "told").size() >= told + 2);
            assertEquals(200, scene.watch("w", 0, "plain").status());
            int again = scene.all("list", "told").size();
            scene.onLoop(0, () -> {
                scene.stage.gateway(0).core().fetchList();
                return true;
            });
            scene.await("list", "told", r -> scene.all("list", "told").size() >= again + 2);
            scene.stage.listed(0, "draining", 0);
            scene.awaitHosts(0, MediaHost.State.DRAINING, 1);
            assertEquals(200, scene.watch("x", 0, "plain").status());
            assertTrue(playing.segment("1.ts").startsWith("http://"), "what plays, plays on");
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void twoTroublesAtOnceStillGiveOneAnswerEach() throws Exception {
        try (Scene scene = Scene.of(2, 3)) {
            scene.host(0).crash();
            scene.host(1).faults().hang = true;
            List<Scene.Viewer> all = IntStream.range(0, 20)
                .mapToObj(i -> scene.watch("v" + i, i % 2, i % 3 == 0 ? "paid" : "plain")).toList();
            for (Scene.Viewer v : all) {
                assertTrue(List.of(200, 503, 504).contains(v.status()));
            }
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aHostThatAcceptsConnectionsAndNeverAnswersCostsATryAndNoMore() throws Exception {
        try (Scene scene = Scene.of(1, 2); ServerSocket deaf = new ServerSocket(0)) {
            scene.host(0).crash();
            scene.host(0).close();
            // In the dead host's place stands a socket that the kernel accepts for and nobody reads.
            scene.stage.list().change(List.of(new cypressvalve.standin.ListServer.Entry(0,
                "http://127.0.0.1:" + deaf.getLocalPort(), "active", 1, 0, 0, "std", "")), 0);
            scene.await("list", "told", r -> r.whole("host") == 0);
            List<Scene.Viewer> all = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                all.add(scene.watch("v" + i, 0, "plain"));
            }
            for (Scene.Viewer v : all) {
                assertEquals(200, v.status());
            }
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aPlayerThatGoesSilentLosesSeatAndPlace() throws Exception {
        try (Scene scene = Scene.of(1, 1)) {
            assertEquals(200, scene.watch("a", 0, "few").status());
            assertEquals(200, scene.watch("b", 0, "few").status());
            assertEquals(503, scene.watch("c", 0, "few").status(), "both seats are taken");
            scene.awaitPlaying(0, 0);
            for (TapeRecord setup : scene.all("host", "setup")) {
                scene.await("host", "release", r -> r.text("session").equals(setup.text("session")));
            }
            assertEquals(200, scene.watch("d", 0, "few").status());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aPlayerThatHangsUpWhileItWaitsFreesItsPlace() throws Exception {
        try (Scene scene = Scene.of(1, 1)) {
            scene.host(0).faults().hang = true;
            Scene.Viewer viewer = scene.watch("v", 0, "plain");
            TapeRecord setup = scene.await("host", "setup", r -> true);
            viewer.response.cancel(true);
            scene.await("host", "release", r -> r.text("session").equals(setup.text("session")));
            assertEquals(0, scene.onLoop(0, () -> scene.stage.gateway(0).core()
                .held(cypressvalve.session.Session.State.OPENING)));
        }
    }

    @Test
    void aLostHostIsAGoneSessionAndComingBackIsANewPlayback() throws Exception {
        try (Scene scene = Scene.of(1, 2)) {
            Scene.Viewer viewer = scene.watch("v", 0, "plain");
            assertEquals(200, viewer.status());
            long host = scene.await("host", "setup", r -> true).whole("host");
            scene.host(host).crash();
            scene.awaitPlaying(0, 0);
            assertEquals("410", viewer.segment("0.ts"));
            Scene.Viewer again = scene.watch("v", 0, "plain");
            assertEquals(200, again.status());
            assertNotEquals(viewer.media(), again.media());
            assertEquals(Map.of(), scene.broken());
        }
    }

    @Test
    void aDrainedGatewayEndsWhatPlaysAndTellsTheHosts() throws Exception {
        try (Scene scene = Scene.of(1, 1)) {
            assertEquals(200, scene.watch("a", 0, "plain").status());
            TapeRecord setup = scene.await("host", "setup", r -> true);
            scene.stage.gateway(0).drain();
            scene.await("host", "release", r -> r.text("session").equals(setup.text("session")) && r.flag("known"));
            assertEquals(Map.of(), scene.broken());
        }
    }
}
