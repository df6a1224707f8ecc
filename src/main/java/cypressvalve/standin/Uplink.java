package cypressvalve.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The uplink that the media hosts of a rack share. Hosts tell what they ask from threads of their own. */
public final class Uplink {
    private final double rate;
    private final Map<Integer, Double> asked = new ConcurrentHashMap<>();
    private volatile double part = 1;

    /** @param rate kB a second */
    public Uplink(double rate) {
        this.rate = rate;
    }

    /** What a host's sessions ask now, kB a second. */
    void asks(int host, double kb) {
        asked.put(host, kb);
    }

    /** A trouble: only that part of the rate is given. */
    public void weaken(double to) {
        part = to;
    }

    /** What is asked over what is given. */
    double use() {
        return asked.values().stream().mapToDouble(Double::doubleValue).sum() / (rate * part);
    }
}
