package cypressvalve.host.rtsp;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Why a connection to a media host is given up. */
enum CloseReason {
    /** It was refused, which proves that nobody has taken it, and that no process listened. */
    REFUSED("refused"),
    /** There was no way to its host, which proves that nobody has taken it. */
    NO_ROUTE("no route"),
    /** It was not up in time when the sockets were polled; it may come up just then. */
    NOT_UP_IN_TIME("not up in time"),
    /** It came up and ended, or was given up on its way, before it was seen to be up. */
    ENDED_UNSEEN("ended before it was seen to be up"),
    /** The host ended it, or reset it. */
    BY_HOST("by the host"),
    /** The host reads too little of it. */
    WRITE_QUEUE_FULL("more waits for the host than may"),
    /** Another host's connection needs its place. */
    ROOM("room for another host"),
    /** It has carried nothing for long. */
    IDLE("idle"),
    /** The process ends, and can tell nobody of what the host says. */
    SHUTDOWN("shutdown"),
    /** It was of no more use. */
    RETIRED("retired"),
    /** The decisions give back what is idle. */
    UNWANTED("no longer wanted"),
    /** Its host is listed at another address now. */
    ADDRESS_REPLACED("address replaced"),
    /** A set-up that was cancelled must not begin, and the host has shown no life since. */
    CANCEL_UNREAD("silent with a cancelled set-up"),
    /** This side has ended its stream, the host has not. */
    NOT_ENDED_BY_HOST("the host has not ended it"),
    /** What came on it can't be read. */
    UNREADABLE("unreadable"),
    /** The same, and its end is not awaited any more. */
    UNREADABLE_FOR_LONG("unreadable, and its end is not awaited any more");

    private final String text;

    CloseReason(String text) {
        this.text = text;
    }

    /** The reason for a connection whose opening failed with that exception. */
    static CloseReason ofFailedConnect(IOException why) {
        if (why instanceof ConnectException) {
            return REFUSED;
        }
        return why instanceof NoRouteToHostException ? NO_ROUTE : ENDED_UNSEEN;
    }

    /** Whether the host can't have taken the connection. */
    boolean neverTaken() {
        return this == REFUSED || this == NO_ROUTE;
    }

    @Override
    public String toString() {
        return text;
    }
}
