package cypressvalve.lab;

import cypressvalve.session.Clock;
import cypressvalve.session.Loop;
import java.util.PriorityQueue;

/**
 * Simulated time: tasks run one after another in the order of their times, those of one time in the order in which
 * they were asked for. One run uses one thread; the same tasks give the same run.
 */
public final class Simulation implements Clock {
    private record Event(long at, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long number;
    private long ran;

    /** @param begins nanoseconds since 1970 */
    public Simulation(long begins) {
        now = begins;
    }

    @Override
    public long now() {
        return now;
    }

    /** Events run so far. */
    public long ran() {
        return ran;
    }

    /** Runs the task once so many nanoseconds have passed. */
    public void after(long delay, Runnable task) {
        events.add(new Event(now + Math.max(0, delay), number++, task));
    }

    /** Runs all that is due up to that time, which it then is. */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event next = events.poll();
            now = next.at;
            ran++;
            next.task.run();
        }
        now = Math.max(now, end);
    }

    /** A gateway's loop in this time; nothing on it is ever late. */
    public Loop loop() {
        return new Loop() {
            @Override
            public void execute(Runnable task) {
                after(0, task);
            }

            @Override
            public Cancel executeAfter(Runnable task, long delay) {
                boolean[] cancelled = new boolean[1];
                // The real loop counts whole milliseconds, one at least.
                after(Math.max(1, (delay + 999_999) / 1_000_000) * 1_000_000, () -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                });
                return () -> cancelled[0] = true;
            }

        };
    }
}
