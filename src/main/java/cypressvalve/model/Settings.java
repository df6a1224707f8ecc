package cypressvalve.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a gateway is told at its start. */
public final class Settings {
    public int me;
    public int gateways = 1;
    public String zone = "";
    public final List<Plan> plans = new ArrayList<>();
    public final Map<String, Plan> plansByName = new LinkedHashMap<>();
    public final Map<String, Integer> tenants = new LinkedHashMap<>();
    /** Playbacks a second of each tenant inside its share, over all gateways; 0 if not told. */
    public double[] allowance = {};
    public double overShareRevenue = 1;
    public double[] ladder = {1};
    public double[] rungRevenue = {1};
    public int cells = 1;
    public int racks = 1;
    public Map<String, Double> places = new LinkedHashMap<>();
    public double linkPerRating;
    /** All links together at the start, 0 if not told. */
    public double fleet;
    /** Mean uplink of a rack, kB a second; without bound where none is told. */
    public double uplink = Double.POSITIVE_INFINITY;
    /** What a further viewer adds to a shared stream, as a part of the rate. */
    public double joinShare = 1;
    /** A media host turns set-ups away while so much of its link is asked for; 0 if it never does. */
    public double fullFrom;
    public long noteDelay;
    public long notePeriod;
    public boolean reportsOnProbe;
    public boolean mayProbe;
    public boolean mayWithdraw;
    public boolean mayNameComeBack;
    public long longestComeBack;
    public int mostTries = Integer.MAX_VALUE;
    public boolean listOnRequest;
    /** What the worst served plan counts for in the deployment's goal. */
    public double worstPlanWeight;
    public long coldTime;
    public double coldShare = 1;
    public double fallMultiple = Double.POSITIVE_INFINITY;
    public long fallTime;
    /** Budget of further tries: below 0 if none is stated. */
    public double extraFloor = -1;
    public double extraPerPlayback;
    public long extraWindow;
}
