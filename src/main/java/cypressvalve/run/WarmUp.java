package cypressvalve.run;

import cypressvalve.admission.Gate;
import cypressvalve.config.PlatformSettings;
import cypressvalve.fleet.ListFollower;
import cypressvalve.fleet.membership.ListVersion;
import cypressvalve.front.signal.Rehearsed;
import cypressvalve.front.signal.Titles;
import cypressvalve.host.Carried;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.host.rtsp.Spoken;
import cypressvalve.model.Verdict;
import cypressvalve.session.Clock;
import cypressvalve.session.CoreEvents;
import cypressvalve.session.Loop;
import cypressvalve.session.SessionCore;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Made-up set-ups through a core of their own before the gateway listens, with no socket: the JVM has then loaded and
 * compiled what the first viewers need. Without it a part of a core is late by half a second while they come.
 */
final class WarmUp {
    /** No longer than this, whatever the machine: a gateway that starts late serves nobody meanwhile. */
    private static final long MOST = 900_000_000L;
    /** Set-ups; the first compiler has taken up the path by then. */
    private static final int SET_UPS = 400;
    /** Of these so many play at once. */
    private static final int HELD = 60;

    private WarmUp() {
    }

    static void run(PlatformSettings settings, List<ListVersion> known) {
        long begun = System.nanoTime();
        Hosts hosts = new Hosts();
        Clock clock = () -> System.nanoTime();
        SessionCore core = new SessionCore(new Titles(settings.shares()), settings.control(), settings.seed(), clock, new Still(),
            hosts, new Nobody(), HELD * 2, new Gate.Limits(HELD * 2, Long.MAX_VALUE), CoreEvents.NONE, cause -> { });
        hosts.core = core;
        known.forEach(v -> core.listed(v.entries(), v.whole()));
        Rehearsed viewers = new Rehearsed(core, settings.control());
        for (int i = 1; i <= SET_UPS && System.nanoTime() - begun < MOST; i++) {
            viewers.setUp(i);
            hosts.answer();
            if (i > HELD) {
                viewers.release(i - HELD);
            }
        }
        core.close();
    }

    /** Media hosts that take whatever they are asked, by the codec alone. */
    private static final class Hosts implements HostClient {
        private SessionCore core;
        private final List<Runnable> due = new ArrayList<>();

        private void answer() {
            List<Runnable> all = List.copyOf(due);
            due.clear();
            all.forEach(Runnable::run);
        }

        @Override
        public Call setUp(HostAddress host, SetUpOrder order, SetUpResult result) {
            due.add(() -> {
                result.started(LoadReport.NONE, Spoken.set(order));
                core.delivered(host.id(), order.playback(), 1);
            });
            return () -> { };
        }

        @Override
        public void probe(HostAddress host, ProbeResult result) {
            due.add(() -> result.probed(Verdict.OK, new LoadReport(0.5, Double.NaN)));
        }

        @Override
        public void setRung(HostAddress host, String session, int rung) { }

        @Override
        public void release(HostAddress host, String session) { }

        @Override
        public void carried(HostAddress host, Consumer<List<Carried>> result) { }

        @Override
        public void freeLinks(HostAddress host) { }

        @Override
        public void follow(HostAddress host, boolean on) { }

        @Override
        public void close() { }
    }

    /** A loop on which no time passes. */
    private static final class Still implements Loop {
        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public Cancel executeAfter(Runnable task, long delay) {
            return () -> { };
        }
    }

    private static final class Nobody implements ListFollower {
        @Override
        public void follow(boolean on) { }

        @Override
        public void fetch() { }
    }
}
