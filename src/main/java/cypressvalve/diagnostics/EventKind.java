package cypressvalve.diagnostics;

/** What an entry of the {@link EventLog} tells of. */
public enum EventKind {
    /** A client's connection was accepted. */
    CLIENT_CONNECTED,
    /** A client's connection was closed; the detail says why. */
    CLIENT_CLOSED,
    /** A set-up request was read whole. */
    REQUEST_RECEIVED,
    /** A request was answered before it reached the session core; the detail is the cause sent. */
    REQUEST_REFUSED,
    /** A request got its final answer; the detail is the message type and cause. */
    REQUEST_ANSWERED,
    /** The client cancelled its request or closed its connection. */
    REQUEST_CANCELLED,
    /** A session that plays already was handed over; the detail says what came of it. */
    SESSION_HANDED_OVER,
    /** A session that played is over; the detail says why. */
    SESSION_ENDED,
    /** A media host's release of a session was read; the detail is what came of it. */
    HOST_RELEASE_READ,
    /** The gateway's own release of a session was written to a connection to the media host; the detail says whether all of it has left. */
    RELEASE_TO_HOST_WRITTEN,
    /** The gateway's own release of a session waits for a connection to the media host. */
    RELEASE_TO_HOST_WAITS,
    /** The media host has shown that it read the gateway's own release; the detail says how. */
    RELEASE_TO_HOST_READ,
    /** The gateway's own release of a session, or a cancel, is no longer owed to the media host; the detail says why. */
    RELEASE_TO_HOST_DROPPED,
    /** A client's release was read; the detail says what it ended. */
    CLIENT_RELEASE_READ,
    /** A session's end was written to a client's connection; the detail says whether its own. */
    RELEASE_SENT,
    /** A session's end waits for a connection from clients. */
    RELEASE_WAITS,
    /** A client has acknowledged a session's end. */
    RELEASE_ACKNOWLEDGED,
    /** A set-up was written to a connection to a media host. */
    ATTEMPT_SENT,
    /** An attempt was given up before its answer; the detail says why. */
    ATTEMPT_CANCELLED,
    /** A media host's answer waits until what follows it shows that it is whole. */
    ANSWER_HELD,
    /** A media host's answer is not passed on; the detail says why. */
    ANSWER_REJECTED,
    /** An attempt's result was reported; the detail is the verdict. */
    ATTEMPT_ENDED,
    /** A connection to a media host was begun. */
    HOST_CONNECTING,
    /** A connection to a media host came up. */
    HOST_CONNECTED,
    /** The gateway ends its side of an unused connection to a media host; the detail says why. */
    HOST_CLOSING,
    /** A connection to a media host was closed or never came up; the detail says why. */
    HOST_CLOSED,
    /** A media host's bytes can't be read: nothing more is said there, its end is awaited; the detail says why. */
    HOST_UNREADABLE,
    /** A media host that carries sessions is tested, as it has said nothing for long. */
    HOST_TESTED,
    /** A media host counts as lost with all that it carried; the detail says why. */
    HOST_LOST,
    /** It is not known whether a media host's process is still the one that carries its sessions; the detail says why and since when. */
    HOST_DOUBTED,
    /** What was in doubt is the same process; the detail says what has shown it. */
    HOST_PROVEN,
    /** Another process has taken the place of the one that carried sessions, or the doubt was not settled in time; the detail says which. */
    HOST_REPLACED,
    /** Something that concerns discovery; the detail says what. */
    DISCOVERY,
    /** A state of the process: signals, phases of shutdown. */
    PROCESS,
    /** What must not happen was refused, or did happen; the detail is the {@link RequestInvariants.Violation}. */
    INVARIANT_VIOLATED
}
