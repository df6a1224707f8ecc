package cypressvalve.session;

import cypressvalve.net.Timer;
import org.xnio.XnioIoThread;

/** The loop as one XNIO I/O thread. */
public final class XnioLoop implements Loop {
    private final XnioIoThread thread;

    public XnioLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(task);
    }

    @Override
    public Cancel executeAfter(Runnable task, long delay) {
        return Timer.after(thread, task, delay)::cancel;
    }
}
