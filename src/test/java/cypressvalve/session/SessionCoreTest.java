package cypressvalve.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.admission.Gate;
import cypressvalve.config.Doc;
import cypressvalve.config.Service;
import cypressvalve.fleet.ListEntry;
import cypressvalve.fleet.ListFollower;
import cypressvalve.host.Carried;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.model.MediaHost;
import cypressvalve.model.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The core on a loop and a clock that the test moves, with media hosts that do what the test says. */
class SessionCoreTest {
    private static final long MS = 1_000_000;
    private static final String SERVICE = """
        service:
          ladder: [100, 200, 400]
          revenue: [0.3, 0.6, 1]
          plans:
            - {name: plain, startup: 1s, abandon: 2s}
            - {name: paid, startup: 1s, abandon: 2s, effect: once}
            - {name: few, startup: 1s, abandon: 2s, seats: 1}
          titles:
            - {key: t, length: 60s, first: 0, copies: 2}
          fleet: {cells: 3, link: 4000, kinds: [{name: std, places: 20}]}
        """;

    private long now = 1_000_000_000_000L;
    private final List<String> calls = new ArrayList<>();
    private final List<HostClient.SetUpResult> results = new ArrayList<>();
    private final List<Session> open = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final List<Throwable> failures = new ArrayList<>();
    private final TestLoop loop = new TestLoop();
    private final SessionCore core;
    private Session last;
    private RuntimeException hostFailure;
    private final List<Carried> carried = new ArrayList<>();
    private final List<String> ends = new ArrayList<>();
    private boolean lostWhenFollowed;
    private boolean lostWhenReleased;

    SessionCoreTest() {
        Doc doc = Doc.parse("test", SERVICE);
        Service service = Service.read(doc.root().section("service"));
        doc.verify();
        core = new SessionCore(service, service.control(0, 1, ""), 1, () -> now, loop, new TestHosts(),
            new ListFollower() {
                @Override
                public void follow(boolean on) {
                    calls.add("follow list");
                }

                @Override
                public void fetch() {
                    calls.add("fetch list");
                }
            }, 5, Gate.Limits.DEFAULT, CoreEvents.NONE, failures::add);
        core.start();
        core.listed(List.of(entry(0, MediaHost.State.ACTIVE), entry(1, MediaHost.State.ACTIVE)), true);
    }

    private static ListEntry entry(int id, MediaHost.State state) {
        return new ListEntry(new HostAddress(id, "127.0.0.1", 9000 + id), state, 1, 0, id, "std", "");
    }

    private Answer ask(String viewer, String plan) {
        return ask(viewer, plan, 2000 * MS);
    }

    private Answer ask(String viewer, String plan, long patience) {
        Answer answer = new Answer() {
            @Override
            public void playing(Session session) {
                answers.add(viewer + " plays");
            }

            @Override
            public void rejected(long comeBackIn) {
                answers.add(viewer + " rejected");
            }

            @Override
            public void failed() {
                answers.add(viewer + " failed");
            }

            @Override
            public void ended(Session session) {
                ends.add(viewer + " " + session.end() + " after " + answers);
            }
        };
        last = core.ask(new Ask(viewer, "t", plan, "", 2, 0, patience), answer);
        return answer;
    }

    /** Guards against set-ups for a host that has vanished which reach a cold one at its address, or one that does not hold the title. */
    @Test
    void nothingIsSetUpAtAHostWhoseAddressAnotherHoldsThoughTheListHasNotDroppedIt() {
        HostAddress taken = new HostAddress(7, "127.0.0.1", 9000);
        core.listed(List.of(new ListEntry(taken, MediaHost.State.ACTIVE, 1, now, 2, "std", "")), false);
        assertFalse(core.serving(0));
        assertTrue(core.serving(7));
        core.listed(List.of(entry(0, MediaHost.State.ACTIVE)), false); // Said again, or late.
        assertFalse(core.serving(0));
        for (int i = 0; i < 4; i++) {
            ask("viewer " + i, "plain");
        }
        assertEquals(4, calls.stream().filter(call -> call.startsWith("set-up ") && call.endsWith(" on 1")).count(), calls.toString());
        assertEquals(1, core.hosts(MediaHost.State.GONE));
    }

    @Test
    void aRetryThatComesWhileTheFirstTryIsOpenJoinsIt() {
        ask("a", "plain");
        Session first = last;
        ask("a", "plain");
        assertSame(first, last);
        assertEquals(1, results.size(), "one set-up for both");
        results.get(0).started(LoadReport.NONE);
        assertEquals(List.of("a plays", "a plays"), answers);
        ask("a", "plain");
        assertEquals(3, answers.size(), "a third request finds it playing");
        assertEquals(1, results.size());
    }

    @Test
    void aRetryWithLessPatienceThanTheFirstIsAnsweredInItsOwnTime() {
        ask("a", "plain");
        loop.advance(100 * MS);
        ask("a", "plain", 300 * MS);
        loop.advance(299 * MS);
        assertEquals(List.of("a rejected", "a rejected"), answers);
    }

    @Test
    void aViewerWhoHangsUpWithdrawsTheTryOnceNobodyWaits() {
        Answer first = ask("a", "plain");
        Answer second = ask("a", "plain");
        Session session = last;
        core.hungUp(session, first);
        assertFalse(calls.contains("withdraw"), "the second request still waits");
        core.hungUp(session, second);
        assertTrue(calls.contains("withdraw"));
        assertNull(core.session(session.id()));
        results.get(0).cameBack(Verdict.WITHDRAWN, LoadReport.NONE);
        loop.advance(3000 * MS);
        assertEquals(List.of(), answers, "a viewer who left is not answered");
    }

    @Test
    void aHostThatNeverAnswersCostsOneAnswerBeforeTheAbandonTime() {
        ask("a", "plain");
        loop.advance(450 * MS);
        results.get(0).cameBack(Verdict.TIMEOUT, LoadReport.NONE);
        assertEquals(2, results.size(), "the other holder is tried");
        loop.advance(1000 * MS);
        assertEquals(List.of("a rejected"), answers);
        assertTrue(calls.contains("withdraw"), "the try still out is taken back");
        results.get(1).cameBack(Verdict.WITHDRAWN, LoadReport.NONE);
        assertEquals(0, core.held(Session.State.OPENING));
    }

    @Test
    void aPlanPaidAtSetUpIsTriedAgainOnlyIfProvablyNotRun() {
        ask("a", "paid");
        results.get(0).cameBack(Verdict.TIMEOUT, LoadReport.NONE);
        assertEquals(1, results.size());
        assertEquals(List.of("a failed"), answers);
        ask("b", "paid");
        results.get(1).cameBack(Verdict.NO_CONNECTION, LoadReport.NONE);
        assertEquals(3, results.size(), "a refused connection proves that nothing ran");
    }

    @Test
    void aSeatIsFreeAtOnceWhenItsViewerLeaves() {
        ask("a", "few");
        results.get(0).started(LoadReport.NONE);
        Session playing = last;
        ask("b", "few");
        assertEquals(List.of("a plays", "b rejected"), answers);
        core.end(playing);
        assertTrue(calls.contains("release " + playing.hostSession()));
        ask("c", "few");
        assertEquals(2, results.size());
    }

    @Test
    void aSilentViewerIsOverAfterTheStatedTime() {
        ask("a", "plain");
        results.get(0).started(LoadReport.NONE);
        Session session = last;
        loop.advance(Silence.after(1_000_000_000L));
        assertEquals(Session.State.PLAYING, session.state());
        loop.advance(600 * MS);
        assertEquals(Session.End.SILENT, session.end());
    }

    @Test
    void aLostHostEndsItsSessionsOnly() {
        ask("a", "plain");
        results.get(0).started(LoadReport.NONE);
        Session session = last;
        core.lost(1 - session.host().id());
        assertEquals(Session.State.PLAYING, session.state());
        core.carried(session.host().id(), Set.of(session.hostSession()), System.nanoTime());
        assertEquals(Session.State.PLAYING, session.state());
        core.carried(session.host().id(), Set.of(), session.begunAt - 1);
        assertEquals(Session.State.PLAYING, session.state(), "it began after the host was asked");
        core.carried(session.host().id(), Set.of(), System.nanoTime() + 1);
        assertEquals(Session.End.HOST_LOST, session.end());
        ask("a", "plain");
        assertFalse(session.id().equals(last.id()), "coming back is a new playback");
    }

    @Test
    void drainingAnswersWhatIsOpenAndTakesNothingNew() {
        ask("a", "plain");
        results.get(0).started(LoadReport.NONE);
        ask("b", "plain");
        boolean[] done = new boolean[1];
        core.drain(() -> done[0] = true);
        loop.run();
        assertFalse(done[0], "b is still open");
        ask("c", "plain");
        results.get(1).started(LoadReport.NONE);
        assertEquals(List.of("a plays", "c rejected", "b plays"), answers);
        assertFalse(core.healthy());
        core.end(open.get(1));
        loop.run();
        assertTrue(done[0]);
    }

    @Test
    void moreThanTheBoundAreRejectedWithoutADecision() {
        for (int i = 0; i < 6; i++) {
            ask("v" + i, "plain");
        }
        assertEquals(List.of("v5 rejected"), answers);
        assertEquals(5, results.size());
    }

    @Test
    void aFailureOfTheDecisionsClosesLoudlyAndAnswersAll() {
        ask("a", "plain");
        hostFailure = new IllegalStateException("planted");
        ask("b", "plain");
        assertEquals(1, failures.size());
        assertEquals(List.of("a failed", "b failed"), answers);
        assertFalse(core.healthy());
        hostFailure = null;
        ask("c", "plain");
        assertEquals("c rejected", answers.get(2));
    }

    @Test
    void whatHostsCarryIsTakenUpOnceAndTheRestEndedThere() {
        String about = new Ask("a", "t", "few", "", 2, 0, 0).about();
        carried.add(new Carried("g0-1.1", "t", "few", 1, about));
        carried.add(new Carried("g7-1.0", "t", "few", 1, about));
        carried.add(new Carried("g0-2.0", "unknown", "few", 1, about));
        carried.add(new Carried("g0-3.0", "t", "few", 1, "nonsense"));
        core.takeUp();
        Session session = core.session("g0-1");
        assertEquals(1, session.rung());
        assertEquals("g0-1.1", session.hostSession());
        assertEquals(1, core.held(Session.State.PLAYING));
        assertTrue(calls.containsAll(List.of("release g7-1.0", "release g0-2.0", "release g0-3.0")), calls.toString());
        ask("a", "few");
        ask("b", "few");
        assertEquals(List.of("a plays", "b rejected"), answers, "its seat counts, and its viewer is known again");
        core.end(session);
        assertTrue(calls.contains("release g0-1.1"));
    }

    @Test
    void aStartThatCrossesTheWithdrawalIsReleased() {
        ask("a", "plain");
        loop.advance(1100 * MS);
        assertEquals(List.of("a rejected"), answers);
        results.get(0).started(LoadReport.NONE);
        assertTrue(calls.stream().anyMatch(c -> c.startsWith("release ")), calls.toString());
        assertEquals(List.of("a rejected"), answers);
    }

    @Test
    void anEndThatIsReadBeforeItsAnswerIsToldBehindTheAnswer() {
        ask("a", "plain");
        long host = open.get(0).playback.lastTry().host.id;
        assertEquals(HostClient.EndEffect.KEPT, core.ended(1 - host, last.id(), Verdict.OK), "of no session at that host");
        assertEquals(HostClient.EndEffect.KEPT, core.ended(host, last.id(), Verdict.BROKEN));
        results.get(0).started(LoadReport.NONE);
        assertEquals(List.of("a HOST_LOST after [a plays]"), ends);
        assertEquals(0, core.held(Session.State.PLAYING));
    }

    /** It holds the address of the one before, and speaks on connections that were opened for that one. */
    @Test
    void anEndThatIsSaidOnAConnectionForAnotherHostAtTheSameAddressIsTold() {
        ask("a", "plain");
        int host = (int) open.get(0).playback.lastTry().host.id;
        HostAddress sameAddress = new HostAddress(7, "127.0.0.1", 9000 + host);
        core.listed(List.of(new ListEntry(sameAddress, MediaHost.State.ACTIVE, 1, 0, host, "std", "")), false);
        results.get(0).started(LoadReport.NONE);
        assertEquals(HostClient.EndEffect.ENDED, core.ended(7, last.id(), Verdict.BROKEN));
        assertEquals(List.of("a HOST_LOST after [a plays]"), ends);
    }

    @Test
    void aRungThatIsReadBeforeTheAnswerIsInForce() {
        ask("a", "plain");
        long host = open.get(0).playback.lastTry().host.id;
        core.rung(host, last.id(), 0);
        results.get(0).started(LoadReport.NONE);
        assertEquals(0, last.rung());
    }

    private static ListEntry entry(int id, int port, long startedAt) {
        return new ListEntry(new HostAddress(id, "127.0.0.1", port), MediaHost.State.ACTIVE, 1, startedAt, id, "std", "");
    }

    private void answeredAfter(java.util.function.IntFunction<ListEntry> listed) {
        ask("a", "plain");
        core.listed(List.of(listed.apply((int) open.get(0).playback.lastTry().host.id)), false);
        results.get(0).started(LoadReport.NONE);
        assertEquals(List.of("a HOST_LOST after [a plays]"), ends);
        assertEquals(0, core.held(Session.State.PLAYING));
    }

    @Test
    void anAnswerThatIsReadAfterTheListsWordThatItsHostStartedAnewIsOfTheProcessBefore() {
        answeredAfter(id -> entry(id, 9000 + id, now + MS));
    }

    @Test
    void anAnswerThatIsReadAfterTheListsWordThatItsHostHasMovedIsOfTheProcessBefore() {
        answeredAfter(id -> entry(id, 9500 + id, 0));
    }

    @Test
    void anEndThatWasReadBeforeTheSetUpLeftIsNotItsOwn() {
        ask("a", "plain");
        long host = open.get(0).playback.lastTry().host.id;
        core.ended(1 - host, last.id(), Verdict.OK);
        results.get(0).cameBack(Verdict.FULL, LoadReport.NONE);
        assertEquals(1 - host, last.playback.lastTry().host.id);
        results.get(1).started(LoadReport.NONE);
        assertEquals(List.of("a plays"), answers);
    }

    @Test
    void aSessionWhoseHostIsLostAsItsAnswerIsReadIsOverBehindTheAnswer() {
        lostWhenFollowed = true;
        ask("a", "plain");
        results.get(0).started(LoadReport.NONE);
        assertEquals(List.of("a HOST_LOST after [a plays]"), ends);
        assertEquals(0, core.held(Session.State.PLAYING));
    }

    /** Guards against a session that ends twice, as telling its host shows that the host is lost: it would free two seats. */
    @Test
    void aSessionWhoseHostIsLostAsItIsToldOfTheEndEndsOnce() {
        lostWhenReleased = true;
        ask("a", "plain");
        results.get(0).started(LoadReport.NONE);
        core.end(open.get(0));
        assertEquals(List.of("a HOST_LOST after [a plays]"), ends);
        assertEquals(1, calls.stream().filter(call -> call.startsWith("unfollow")).count());
    }

    /** Media hosts that keep each set-up's result for the test to tell. */
    private final class TestHosts implements HostClient {
        @Override
        public Call setUp(HostAddress host, SetUpOrder order, SetUpResult result) {
            if (hostFailure != null) {
                throw hostFailure;
            }
            calls.add("set-up " + order.name() + " on " + host.id());
            open.add(core.session(order.playback()));
            results.add(result);
            return () -> calls.add("withdraw");
        }

        @Override
        public void setRung(HostAddress host, String session, int rung) {
            calls.add("rung " + session + " " + rung);
        }

        @Override
        public void release(HostAddress host, String session) {
            calls.add("release " + session);
            if (lostWhenReleased) {
                lostWhenReleased = false;
                core.lost(host.id());
            }
        }

        @Override
        public void probe(HostAddress host, ProbeResult result) {
            calls.add("probe " + host.id());
        }

        @Override
        public void carried(HostAddress host, java.util.function.Consumer<List<Carried>> result) {
            result.accept(host.id() == 0 ? carried : List.of());
        }

        @Override
        public void freeLinks(HostAddress host) {
            calls.add("free " + host.id());
        }

        @Override
        public void follow(HostAddress host, boolean on) {
            calls.add((on ? "follow " : "unfollow ") + host.id());
            if (on && lostWhenFollowed) {
                core.lost(host.id());
            }
        }

        @Override
        public void close() {
            calls.add("close");
        }
    }

    /** A loop whose time the test moves. */
    private final class TestLoop implements Loop {
        private record Due(long at, long order, Runnable task, boolean[] cancelled) { }

        private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) ->
            a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
        private long order;

        @Override
        public void execute(Runnable task) {
            due.add(new Due(now, order++, task, new boolean[1]));
        }

        @Override
        public Cancel executeAfter(Runnable task, long delay) {
            Due item = new Due(now + Math.max(MS, delay), order++, task, new boolean[1]);
            due.add(item);
            return () -> item.cancelled[0] = true;
        }

        void run() {
            advance(0);
        }

        void advance(long by) {
            long until = now + by;
            while (!due.isEmpty() && due.peek().at <= until) {
                Due next = due.poll();
                now = Math.max(now, next.at);
                if (!next.cancelled[0]) {
                    next.task.run();
                }
            }
            now = until;
        }
    }
}
