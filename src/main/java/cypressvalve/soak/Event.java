package cypressvalve.soak;

/**
 * One thing that a party outside the gateway saw or did.
 *
 * @param atMicros when, in microseconds of the record's clock
 * @param kind what
 * @param party the client connection, media host or gateway that it concerns
 * @param request the request's id of 16 hex digits; empty if it concerns none
 * @param detail what the kind leaves open, such as the type and cause of an answer; empty if nothing
 */
public record Event(long atMicros, Kind kind, String party, String request, String detail) {
    /** What happened. */
    public enum Kind {
        /** A client wrote a request's last byte. */
        REQUEST_SENT,
        /** What a client's request says, for comparison with what reaches media hosts; recorded before it is sent. */
        REQUEST_OFFERED,
        /** A client read what is no message of the protocol. */
        ANSWER_UNREADABLE,
        /** A client read a whole answer: the session stands. */
        ANSWER_SERVED,
        /** A client read a whole refusal or failure. */
        ANSWER_REFUSED,
        /** A client read that its session is over. */
        RELEASE_READ,
        /** A client cancelled its request or closed its connection. */
        REQUEST_CANCELLED,
        /** A client's connection ended from the gateway's side; the detail names the gateway's process. */
        CONNECTION_ENDED,
        /** A set-up came whole to a media host, whenever that reads it: an attempt is out; the detail is what it says. */
        ATTEMPT_BEGUN,
        /** A media host wrote the attempt's end, or read that it was cancelled, or read the end of its connection. */
        ATTEMPT_ENDED,
        /** A media host served the attempt. */
        ATTEMPT_SERVED,
        /** A media host writes a good answer to the attempt spoilt; the detail is the form. */
        ANSWER_SPOILT,
        /** A client handed over a session that stands already; the detail names the gateway's process. */
        SESSION_HANDED_OVER,
        /** A client connection was opened; the detail names the gateway's process. */
        CLIENT_CONNECTED,
        /** A client's connection ended from the client's side. */
        CLIENT_LEFT,
        /** A media host wrote a session's release on an open connection; the detail is the cause. */
        SESSION_RELEASED,
        /** A session was over at its media host, which could not say so; the detail is why. */
        SESSION_OVER,
        /** A gateway's release or cancel came whole to a media host's machine, whenever its process reads it. */
        RELEASE_ARRIVED,
        /** A media host read that the gateway has ended a session. */
        SESSION_ENDED_BY_GATEWAY,
        /** A session stands at a media host as the trial ends. */
        SESSION_STANDS,
        /** A gateway's process holds more descriptors than its limit; the detail is how many. */
        LIMIT_EXCEEDED,
        /** A media host counts as told to gateways to drain from then on. */
        DRAIN_TOLD,
        /** The gateway process was sent a signal. */
        SIGNAL,
        /** The gateway process ended; the detail is its exit code. */
        PROCESS_ENDED
    }
}
