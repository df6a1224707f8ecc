package cypressvalve.host.rtsp;

import cypressvalve.host.SetUpOrder;
import java.nio.ByteBuffer;

/** A set-up and a made-up answer to it through the codec, with no socket; for warming up. */
public final class Spoken {
    private Spoken() {
    }

    /** The description that the answer carries: the set-up's own. */
    public static byte[] set(SetUpOrder order) {
        byte[] asked = Rtsp.request("SETUP", order.title(), 1, order.playback(), order.description(),
            "X-Cos: " + order.plan(), "X-Quality: " + order.rung(), "X-Occupancy: x0:0.5;inflight:1");
        try {
            Rtsp read = new Rtsp.Reader().next(ByteBuffer.wrap(asked));
            Occupancy.read(read.field("x-occupancy"));
            return read.body();
        } catch (Rtsp.Unreadable e) {
            throw new IllegalStateException(e);
        }
    }
}
