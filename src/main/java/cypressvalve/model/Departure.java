package cypressvalve.model;

/** Where Control departs from the design page's ordinary path; docs/design.md says when each acts, and why. */
public enum Departure {
    FAIR_RUNG, ONE_HOME_OF_SEVERAL, FULL_OF_STREAMS, EASING_OFF, STEPPING_UP, UNTOLD_RUNG, LAST_ROOM, FOUND_UPLINK
}
