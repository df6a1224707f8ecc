package cypressvalve;

import cypressvalve.model.Departure;
import cypressvalve.model.MediaHost;
import cypressvalve.model.Playback;
import cypressvalve.model.SetupTry;

/** What Control may do. Each call takes effect at the time of the input that led to it. */
public interface Gateway {
    /** Asks the media host to start the playback; the try comes back by itself after maxWait. */
    void setUp(Playback playback, MediaHost host, long maxWait);

    void setRung(Playback playback, int rung);

    /** Ends the playback unserved; the viewer may come again, after comeBackIn if that is above 0. */
    void reject(Playback playback, long comeBackIn);

    /** Ends the playback as failed, with no word on whether it ran. */
    void fail(Playback playback);

    void withdraw(SetupTry setupTry);

    /** Takes a playing playback off its media host; the viewer comes back as a new playback. */
    void move(Playback playback);

    void probe(MediaHost host);

    /** Gives back idle connections. */
    void release(MediaHost host);

    /** Asks for a call of Control.at and settle at that time. */
    void wakeAt(long time);

    /** Sends bytes to the gateway of that number, or to all others if it is below 0. */
    void tell(int gateway, byte[] data);

    /** Opens or closes the standing subscription to the list of media hosts. */
    void followList(boolean on);

    /** Asks once for the whole list of media hosts. */
    void fetchList();

    /** Counts a departure from the ordinary path; nothing hangs on it. */
    default void departed(Departure what) { }

    /** Writes a line to the log. */
    void log(String line);
}
