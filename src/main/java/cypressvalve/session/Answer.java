package cypressvalve.session;

/** What a front is told of one request on the loop: exactly one of the first three, once; after playing, its end. */
public interface Answer {
    /** It plays. */
    void playing(Session session);

    /** Not served; the viewer may come again after so many nanoseconds (0: no advice). */
    void rejected(long comeBackIn);

    /** Not served, and a set-up may have run. */
    void failed();

    /** What played is over; {@link Session#end} says why. */
    default void ended(Session session) { }
}
