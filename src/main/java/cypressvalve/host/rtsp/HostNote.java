package cypressvalve.host.rtsp;

import cypressvalve.host.HostClient;
import cypressvalve.host.LoadReport;

/** A media host's note on a session that stands: {@code ANNOUNCE} with a diagnosis and a reading. */
final class HostNote {
    private HostNote() {
    }

    /** Passes it on; what is not a known diagnosis with a figure means nothing. */
    static void tell(Rtsp message, long host, HostClient.Notes notes) {
        double figure = Occupancy.figure(message.field("x-reading"));
        if (Double.isNaN(figure)) {
            return;
        }
        switch (message.field("x-diagnosis")) {
            case "served" -> notes.delivered(host, message.session(), figure);
            case "at_rung" -> notes.rung(host, message.session(), (int) figure);
            case "link_use" -> notes.load(host, message.session(), new LoadReport(figure, Double.NaN));
            case "rack_use" -> notes.load(host, message.session(), new LoadReport(Double.NaN, figure));
            default -> { }
        }
    }
}
