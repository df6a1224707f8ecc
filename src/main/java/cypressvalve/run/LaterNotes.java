package cypressvalve.run;

import cypressvalve.host.HostClient;
import cypressvalve.host.LoadReport;
import cypressvalve.model.Verdict;
import cypressvalve.session.SessionCore;
import java.util.Set;

/** Notes that hosts tell, handed to a core that is made after the client. */
final class LaterNotes implements HostClient.Notes {
    SessionCore core;

    @Override
    public void delivered(long host, String session, double share) {
        core.delivered(host, session, share);
    }

    @Override
    public void load(long host, String session, LoadReport report) {
        core.load(host, session, report);
    }

    @Override
    public HostClient.EndEffect ended(long host, String session, Verdict verdict) {
        return core.ended(host, session, verdict);
    }

    @Override
    public void rung(long host, String session, int rung) {
        core.rung(host, session, rung);
    }

    @Override
    public void carried(long host, Set<String> sessions, long askedAt) {
        core.carried(host, sessions, askedAt);
    }

    @Override
    public void lost(long host) {
        core.lost(host);
    }

    @Override
    public long begunAt(long host, String session) {
        return core.begunAt(host, session);
    }

    @Override
    public void replaced(long host, long boundary) {
        core.replaced(host, boundary);
    }
}
