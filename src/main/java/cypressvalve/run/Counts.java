package cypressvalve.run;

import cypressvalve.admission.Gate;
import cypressvalve.model.Departure;
import cypressvalve.model.Verdict;
import cypressvalve.session.CoreEvents;
import cypressvalve.session.Session;
import java.util.Map;
import java.util.TreeMap;

/** What happened since the last look, by kind, for one line of the log: counts, and the loop's longest delay. */
final class Counts implements CoreEvents {
    private final Map<String, Integer> counts = new TreeMap<>();
    private long latest;

    private void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    @Override
    public void answered(String outcome, String plan, long took) {
        count(outcome);
    }

    @Override
    public void tried(Verdict verdict, long took) {
        count("try:" + verdict);
    }

    @Override
    public void ended(Session.End end) {
        count("ended:" + end);
    }

    @Override
    public void refused(Gate.Refusal why, String tenant) {
        count("gate:" + why);
    }

    @Override
    public void departed(Departure what) {
        count(what.name());
    }

    @Override
    public void loopDelay(long waited) {
        latest = Math.max(latest, waited);
    }

    /**
     * The line, and nothing counted any more.
     *
     * @param longestPollMillis the longest that a poll of the sockets took from when it was due
     */
    String line(long longestPollMillis) {
        String line = "late " + latest / 1_000_000 + " ms, sockets late " + longestPollMillis + " ms " + counts;
        counts.clear();
        latest = 0;
        return line;
    }
}
