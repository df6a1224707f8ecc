package cypressvalve.load.sessions;

import cypressvalve.load.map.Meant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Brings lines into the order of their times within a window, and spreads those known to the second only over it,
 * in the order in which they were written. No second gains or loses a line by that.
 */
public final class Ordering {
    private static final long SECOND = 1_000_000_000L;

    private record Waiting(Meant line, long number) implements Comparable<Waiting> {
        @Override
        public int compareTo(Waiting o) {
            return line.at() != o.line.at() ? Long.compare(line.at(), o.line.at()) : Long.compare(number, o.number);
        }
    }

    private final long window;
    private final int most;
    private final Consumer<Meant> to;
    private final Consumer<Meant> late;
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>();
    private final List<Meant> second = new ArrayList<>();
    private long number;
    private long newest = Long.MIN_VALUE;
    private long released = Long.MIN_VALUE;
    private long early;

    /**
     * @param window nanoseconds that a line may be behind
     * @param most lines held at once; beyond it the earliest go on before their window has passed
     * @param late told of lines that came too late
     */
    public Ordering(long window, int most, Consumer<Meant> to, Consumer<Meant> late) {
        this.window = window;
        this.most = most;
        this.to = to;
        this.late = late;
    }

    /** Lines that went on early as too many were held. */
    public long early() {
        return early;
    }

    /** Takes a line. */
    public void offer(Meant line) {
        // A line of a released second would be told after later ones.
        if (released != Long.MIN_VALUE && line.at() < released) {
            late.accept(line);
            return;
        }
        waiting.add(new Waiting(line, number++));
        newest = Math.max(newest, line.at());
        while (!waiting.isEmpty() && (waiting.peek().line.at() <= newest - window || waiting.size() > most)) {
            early += waiting.peek().line.at() > newest - window ? 1 : 0;
            release(waiting.poll().line);
        }
    }

    private void release(Meant line) {
        released = Math.max(released, line.at());
        if (!second.isEmpty() && Math.floorDiv(line.at(), SECOND)
            != Math.floorDiv(second.get(0).at(), SECOND)) {
            spread();
        }
        second.add(line);
    }

    private void spread() {
        int coarse = (int) second.stream().filter(l -> l.hit().coarse()).count();
        if (coarse == 0) {
            second.forEach(to);
            second.clear();
            return;
        }
        int i = 0;
        List<Meant> placed = new ArrayList<>(second.size());
        for (Meant line : second) {
            placed.add(line.hit().coarse()
                ? line.at(Math.floorDiv(line.at(), SECOND) * SECOND + (2 * i++ + 1) * SECOND / (2 * coarse)) : line);
        }
        second.clear();
        placed.sort(Comparator.comparingLong(Meant::at));
        placed.forEach(to);
    }

    /** No line follows. */
    public void finish() {
        while (!waiting.isEmpty()) {
            release(waiting.poll().line);
        }
        spread();
    }
}
