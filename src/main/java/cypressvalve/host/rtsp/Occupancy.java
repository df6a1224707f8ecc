package cypressvalve.host.rtsp;

import cypressvalve.host.LoadReport;

/** A media host's load as it writes it: name:value pairs, ';' between them. */
final class Occupancy {
    private Occupancy() {
    }

    /** What it tells of link and uplink; what can't be read tells nothing. */
    static LoadReport read(String text) {
        if (text.isEmpty()) {
            return LoadReport.NONE;
        }
        double asked = Double.NaN;
        double used = Double.NaN;
        double uplink = Double.NaN;
        for (String pair : text.split(";")) {
            int colon = pair.indexOf(':');
            double value = colon < 0 ? Double.NaN : figure(pair.substring(colon + 1));
            switch (colon < 0 ? "" : pair.substring(0, colon).strip()) {
                case "x0" -> asked = value;
                case "util" -> used = value;
                case "x1" -> uplink = value;
                default -> { }
            }
        }
        return new LoadReport(Double.isNaN(asked) ? used : asked, uplink);
    }

    /** A figure of 0 or more; NaN for anything else. */
    static double figure(String text) {
        try {
            double value = text.length() > 32 ? Double.NaN : Double.parseDouble(text.strip());
            return value >= 0 && value < 1e9 ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
