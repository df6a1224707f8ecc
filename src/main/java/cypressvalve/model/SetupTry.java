package cypressvalve.model;

/** One request to one media host to start a playback. */
public final class SetupTry {
    public final Playback playback;
    public final MediaHost host;
    public final int number;
    public final long sentAt;
    /** Null while the try is out or its playback plays. */
    public Verdict verdict;
    /** Its host was blamed for it when it was given up, before its end is known. */
    public boolean blamed;

    public SetupTry(Playback playback, MediaHost host, int number, long sentAt) {
        this.playback = playback;
        this.host = host;
        this.number = number;
        this.sentAt = sentAt;
    }
}
