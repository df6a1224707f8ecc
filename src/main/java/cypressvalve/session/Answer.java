package cypressvalve.session;

/** What a front is told of one request: exactly one of these, once, on the loop. */
public interface Answer {
    /** It plays. */
    void playing(Session session);

    /** Not served; the viewer may come again after so many nanoseconds (0: no advice). */
    void rejected(long comeBackIn);

    /** Not served, and a set-up may have run. */
    void failed();
}
