package cypressvalve.lab;

import java.util.HashMap;
import java.util.Map;

/** The uplink that the media hosts of a rack share. */
final class LabUplink {
    private final double rate;
    private final Map<Integer, Double> asked = new HashMap<>();
    private double sum;
    double part = 1;

    /** @param rate kB a second */
    LabUplink(double rate) {
        this.rate = rate;
    }

    void asks(int host, double kb) {
        Double old = asked.put(host, kb);
        sum += kb - (old == null ? 0 : old);
    }

    /** What is asked over what is given. */
    double use() {
        return sum / (rate * part);
    }
}
