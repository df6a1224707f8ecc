package cypressvalve.session;

import cypressvalve.host.LoadReport;

/** What a media host has said of a session whose answer is not read yet: the last word of each kind counts. */
final class EarlyNotes {
    /** The media host that said it. */
    final long host;
    /** The rung in force; null where not said. */
    Integer rung;
    /** The share of the rates that arrives; NaN where not said. */
    double delivered = Double.NaN;
    /** Link and uplink use; null where not said. */
    LoadReport load;

    EarlyNotes(long host) {
        this.host = host;
    }
}
