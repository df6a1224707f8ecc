package cypressvalve.session;

import cypressvalve.net.PollCycles;
import cypressvalve.net.Timer;

/** The loop as one XNIO I/O thread. */
public final class XnioLoop implements Loop {
    private final PollCycles polls;

    /** @param polls of the thread */
    public XnioLoop(PollCycles polls) {
        this.polls = polls;
    }

    @Override
    public void execute(Runnable task) {
        polls.thread().execute(task);
    }

    @Override
    public Cancel executeAfter(Runnable task, long delay) {
        return Timer.after(polls, task, delay)::cancel;
    }
}
