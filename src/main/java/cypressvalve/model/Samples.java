package cypressvalve.model;

import java.util.Arrays;

/** The last few measurements of one thing, each with its time; index 0 is the newest. */
public final class Samples {
    private final int kept;
    private long[] times = {};
    private double[] values = {};
    private int count;

    public Samples(int kept) {
        this.kept = kept;
    }

    public void add(long time, double value) {
        if (count == times.length && count < kept) {
            int room = Math.min(kept, Math.max(4, 2 * count));
            times = Arrays.copyOf(times, room);
            values = Arrays.copyOf(values, room);
        }
        times[count % times.length] = time;
        values[count % times.length] = value;
        count++;
    }

    /** Adds a value, or replaces the newest if it is of the same time. */
    public void set(long time, double value) {
        if (count > 0 && time(0) == time) {
            count--;
        }
        add(time, value);
    }

    public int size() {
        return Math.min(count, times.length);
    }

    public long time(int back) {
        return times[(count - 1 - back) % times.length];
    }

    public double value(int back) {
        return values[(count - 1 - back) % times.length];
    }

    public double newest() {
        return count == 0 ? 0 : value(0);
    }

    /** How many are of that time or later. */
    public int since(long time) {
        int n = 0;
        while (n < size() && time(n) >= time) {
            n++;
        }
        return n;
    }

    /** The value in force at that time: the newest not after it, else the oldest kept, else 0. */
    public double at(long time) {
        for (int i = 0; i < size(); i++) {
            if (time(i) <= time) {
                return value(i);
            }
        }
        return size() == 0 ? 0 : value(size() - 1);
    }
}
