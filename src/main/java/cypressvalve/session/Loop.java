package cypressvalve.session;

/** The one thread that owns a gateway's state. Only {@link #execute} may be called from elsewhere. */
public interface Loop {
    /** Runs the task on the loop, after what it does now. */
    void execute(Runnable task);

    /** Runs the task on the loop once so many nanoseconds have passed, a millisecond at least. */
    Cancel executeAfter(Runnable task, long delay);

    /** Takes a timer back. */
    interface Cancel {
        void cancel();
    }
}
