package cypressvalve.host;

/**
 * One setup try as a media host is asked for it.
 *
 * @param playback the gateway's id of the playback, in which try is unique
 * @param number the number of the try, from 0
 * @param rung index into the ladder
 * @param about what the gateway wants to be told again if it has to take the session up anew
 * @param maxWait nanoseconds after which the gateway no longer waits
 */
public record SetUpOrder(String playback, int number, String title, String plan, int rung, long maxWait,
    String about, byte[] description) {
    /** The name of the try at the host. */
    public String name() {
        return playback + "." + number;
    }
}
