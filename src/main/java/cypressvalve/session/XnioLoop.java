package cypressvalve.session;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
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
        XnioExecutor.Key key = thread.executeAfter(task, Math.max(1, (delay + 999_999) / 1_000_000),
            TimeUnit.MILLISECONDS);
        return key::remove;
    }
}
