package cypressvalve.soak;

/** How an emulated media host answers set-ups. */
public enum AnswerMode {
    /** At once, that the session stands. */
    NORMAL,
    /** Never: they are taken and nothing is said. */
    SILENT,
    /** After a while, if they were not cancelled meanwhile. */
    LATE,
    /** Twice. */
    TWICE,
    /** So that the answer can't be read or is not what the host made, in one of several ways. */
    SPOILT
}
