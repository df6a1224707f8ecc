package cypressvalve.model;

import java.util.ArrayList;
import java.util.List;

/** Media hosts that share an uplink. */
public final class Rack {
    public final int number;
    public final List<MediaHost> hosts = new ArrayList<>();
    /** What was asked of the uplink over what it gives, as told. */
    public final Samples load = new Samples(4);
    /** A number from 0 to 1 drawn with the last of these. */
    public double draw;
    /** What this gateway's own playbacks ask of it, kB a second. */
    public final Samples own = new Samples(128);

    /** What the uplink was found to give, over what was told. */
    public final Samples found = new Samples(4);

    public Rack(int number) {
        this.number = number;
    }

    /** Puts the media host into this rack, out of any other. */
    public void take(MediaHost host) {
        if (host.rack != null && host.rack != this) {
            host.rack.drop(host);
        }
        if (host.rack != this || !hosts.contains(host)) {
            hosts.add(host);
            host.rack = this;
        }
    }

    /** Takes a media host that has gone out of this rack; true, whether or not it was in it. */
    public boolean drop(MediaHost host) {
        hosts.remove(host);
        return true;
    }
}
