package cypressvalve.load.replay;

import cypressvalve.config.Service;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.standin.Player;
import cypressvalve.trouble.Crowd;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A trace's viewers as players and laboratories take them. */
public final class TraceCrowd {
    private static final long SECOND = 1_000_000_000L;

    private TraceCrowd() {
    }

    /** A viewer who watches so long: what the trace tells of it, the service's own where it does not. */
    static Player.Viewer viewer(Played p, long length, Names names, Service service) {
        Service.PlanRow row = service.plans().get(names.plan(p));
        int top = service.ladder().length - 1;
        int screen = p.screen() < 0 ? top : Math.min(top, p.screen());
        long patience = p.patience() > 0 ? Math.min(p.patience(), row.abandon()) : row.abandon();
        return new Player.Viewer(Long.toHexString(p.keys().isEmpty() ? p.at() : p.keys().get(0)) + "-" + p.at() % SECOND,
            names.title(p), row.name(), names.tenant(p), screen, row.live(), Math.max(length, service.segment()),
            p.hint() > 0 ? p.hint() : Math.max(1, p.length() / SECOND),
            Math.max(1, (patience + SECOND - 1) / SECOND) * SECOND);
    }

    /** How long the trace is, in nanoseconds. */
    public static long span(Path trace) throws IOException {
        try (TraceReader in = TraceReader.open(trace)) {
            return in.header().getSpan();
        }
    }

    /** All viewers who ask, in the order of their coming, from the trace's beginning. */
    public static List<Crowd.Coming> of(Path trace, Names names, Service service) throws IOException {
        List<Crowd.Coming> all = new ArrayList<>();
        try (TraceReader in = TraceReader.open(trace)) {
            long begins = in.header().getBegins();
            for (Played p = in.next(); p != null; p = in.next()) {
                if (!p.tries().isEmpty()) {
                    all.add(new Crowd.Coming(p.at() - begins, false, viewer(p, p.length(), names, service)));
                }
            }
        }
        return all;
    }
}
