package cypressvalve.model;

/** How a setup try, a playback or a probe ended. */
public enum Verdict { OK, ERROR, FULL, TIMEOUT, NO_CONNECTION, BROKEN, WITHDRAWN, NOT_SENT }
