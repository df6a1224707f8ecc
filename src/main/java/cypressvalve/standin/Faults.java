package cypressvalve.standin;

/** What is wrong with a media host now; set by the day's player, read by the host. */
public final class Faults {
    /** Takes work and answers nothing: set-ups, probes and media bytes stand still. */
    public volatile boolean hang;
    /** Works, but its answers to set-ups are lost. */
    public volatile boolean answersLost;
    /** Share of set-ups that fail at once. */
    public volatile double errors;
    /** The link's part that is left, of slow, neighbour and ageing. */
    public volatile double link = 1;
    /** The cores' part that is left. */
    public volatile double work = 1;
    /** Nanoseconds that notes of load and delivery come later than usual. */
    public volatile long notesLate;
}
