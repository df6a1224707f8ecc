package cypressvalve.load.sessions;

/**
 * A span without a line, or a clock that was set.
 *
 * @param from nanoseconds since 1970, by the times before
 * @param to by the times after
 * @param playing viewers that played just before
 * @param cameBack those of them that were heard of just after
 */
public record Gap(int server, long from, long to, Kind kind, int playing, int cameBack) {
    /** Nobody was there; lines were lost while viewers played on; the clock was set. */
    public enum Kind { SILENCE, LOSS, LEAP }
}
