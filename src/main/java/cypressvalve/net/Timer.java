package cypressvalve.net;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * A task after some time on an I/O thread. The thread has polled its sockets between the setting and the task, so that timers which set
 * further ones do not keep it from them, and once more since it was due where it is late. Used on the thread only.
 */
public final class Timer {
    /** Later than this the sockets have had no turn for long enough to hold what the task waits for. */
    private static final long LATE = 15_000_000L;

    private final PollCycles polls;
    private final Runnable task;
    private final long due;
    private final long polledBefore;
    private final XnioExecutor.Key key;
    private boolean cancelled;

    private Timer(PollCycles polls, Runnable task, long delay) {
        this.polls = polls;
        this.task = task;
        due = System.nanoTime() + delay;
        polledBefore = polls.completed();
        key = polls.thread().executeAfter(this::run, Math.max(1, (delay + 999_999) / 1_000_000), TimeUnit.MILLISECONDS);
    }

    /** @param delay nanoseconds, a millisecond at least */
    public static Timer after(PollCycles polls, Runnable task, long delay) {
        return new Timer(polls, task, delay);
    }

    private void run() {
        if (System.nanoTime() - due > LATE || polls.completed() == polledBefore) {
            polls.afterNext(this::runUnlessCancelled);
        } else {
            runUnlessCancelled();
        }
    }

    private void runUnlessCancelled() {
        if (!cancelled) {
            task.run();
        }
    }

    /** Takes the task back if it has not run. */
    public void cancel() {
        cancelled = true;
        key.remove();
    }
}
