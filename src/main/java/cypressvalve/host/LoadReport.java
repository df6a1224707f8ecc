package cypressvalve.host;

/** What a media host tells of itself: what is asked of its link and of its rack's uplink over what each gives. */
public record LoadReport(double link, double uplink) {
    /** Nothing was told. */
    public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN);
}
