package cypressvalve.net;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Tells when an I/O thread has polled its sockets. Such a thread runs tasks and due timers until there are none, and polls only then: neither
 * a time nor a task behind others shows that it has. The mark is the writing end of an empty pipe, which every poll that it takes part in
 * finds ready, together with all sockets that are. Used on the thread only, but for its making and its closing.
 */
public final class PollCycles implements AutoCloseable {
    private static final long SAMPLE_MILLIS = 25;
    private static final long UNMARKED_MILLIS = 1;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** A mark that no poll has found ready so long after the start is none. */
    private static final long MARK_TRIED_MILLIS = 1_000;

    /** Whether polls find the mark ready. */
    private enum Mark {
        /** Not known before the first poll: a loop may be busy with tasks from its start on. */
        UNKNOWN,
        WORKS,
        /** There is none, or polls do not find it: a time stands in for it. */
        FAILS
    }

    private final XnioIoThread thread;
    /** Its writing end is the mark; none where the system had no pipe left. */
    private final Optional<ChannelPipe<StreamSourceChannel, StreamSinkChannel>> pipe;
    /** What runs after the poll that the mark takes part in next. */
    private List<Runnable> armed = new ArrayList<>();
    /** What came since the mark was armed: the poll that finds it ready may have begun before. */
    private List<Runnable> later = new ArrayList<>();
    private Mark state;
    private long completed;
    private long longestNanos;
    private long seenUntil;
    private volatile boolean closed;

    /** Begins to mark polls; from any thread. */
    public PollCycles(XnioIoThread thread) {
        this.thread = thread;
        pipe = pipeOf(thread);
        state = pipe.isPresent() ? Mark.UNKNOWN : Mark.FAILS;
        seenUntil = System.nanoTime();
        mark().ifPresent(mark -> mark.getWriteSetter().set(channel -> polled(mark)));
        thread.execute(this::arm);
        thread.executeAfter(this::doubtMark, MARK_TRIED_MILLIS, TimeUnit.MILLISECONDS);
        sampleLater();
    }

    private static Optional<ChannelPipe<StreamSourceChannel, StreamSinkChannel>> pipeOf(XnioIoThread thread) {
        try {
            return Optional.of(thread.createHalfDuplexPipe());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private Optional<StreamSinkChannel> mark() {
        return pipe.map(ChannelPipe::getRightSide);
    }

    private void doubtMark() {
        if (state == Mark.UNKNOWN && !closed) {
            state = Mark.FAILS;
            List<Runnable> waiting = new ArrayList<>(armed);
            waiting.addAll(later);
            armed = new ArrayList<>();
            later = new ArrayList<>();
            waiting.forEach(thread::execute);
        }
    }

    private void arm() {
        mark().ifPresent(StreamSinkChannel::resumeWrites);
    }

    /** The thread whose polls these are. */
    public XnioIoThread thread() {
        return thread;
    }

    /** Runs the task once a poll that began after this call is over, and all that it found ready has been seen to; never once closed. */
    public void afterNext(Runnable task) {
        if (closed) {
            return;
        }
        if (state == Mark.FAILS) {
            thread.executeAfter(task, UNMARKED_MILLIS, TimeUnit.MILLISECONDS);
        } else if (armed.isEmpty()) {
            armed.add(task);
            arm();
        } else {
            later.add(task);
        }
    }

    /** How many polls were marked so far; at least one in each sampling interval of a thread that polls. */
    public long completed() {
        return completed;
    }

    /** All that had come to the sockets by this time of {@link System#nanoTime} has been seen to; a sampling interval ago where polls are in time. */
    public long seenUntil() {
        return seenUntil;
    }

    /** The longest time in milliseconds from when a poll was due to its end, since this was asked for last. */
    public long longestMillis() {
        long longest = longestNanos / NANOS_PER_MILLI;
        longestNanos = 0;
        return longest;
    }

    private void polled(StreamSinkChannel mark) {
        state = Mark.WORKS;
        completed++;
        List<Runnable> due = armed;
        armed = later;
        later = new ArrayList<>();
        if (armed.isEmpty()) {
            mark.suspendWrites();
        }
        due.forEach(thread::execute); // Tasks run once all that was found ready has been seen to.
    }

    private void sampleLater() {
        long due = System.nanoTime() + SAMPLE_MILLIS * NANOS_PER_MILLI;
        thread.executeAfter(() -> {
            if (!closed) {
                long armedAt = System.nanoTime();
                afterNext(() -> {
                    seenUntil = armedAt;
                    longestNanos = Math.max(longestNanos, System.nanoTime() - due);
                    sampleLater();
                });
            }
        }, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        closed = true;
        pipe.ifPresent(ends -> IoUtils.safeClose(ends.getRightSide(), ends.getLeftSide()));
    }
}
