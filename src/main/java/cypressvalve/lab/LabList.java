package cypressvalve.lab;

import cypressvalve.fleet.ListEntry;
import cypressvalve.tape.Tape;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of media hosts in simulated time: it hears of changes late and pushes them to all who follow it. */
final class LabList {
    /** A gateway that follows. */
    interface Follower {
        void listed(List<ListEntry> entries, boolean whole);
    }

    private final Simulation time;
    private final Tape tape;
    private final long oneWay;
    private final Map<Long, ListEntry> published = new LinkedHashMap<>();
    private final Map<Integer, Follower> followers = new LinkedHashMap<>();
    long stale;

    LabList(Simulation time, Tape tape, long oneWay) {
        this.time = time;
        this.tape = tape;
        this.oneWay = oneWay;
    }

    void change(Collection<ListEntry> entries, long delay) {
        List<ListEntry> changed = List.copyOf(entries);
        time.after(delay + stale, () -> {
            changed.forEach(e -> published.put(e.address().id(), e));
            push(changed, changed, false);
        });
    }

    void dropAll() {
        push(List.of(), published.values().stream().map(e -> new ListEntry(e.address(),
            cypressvalve.model.MediaHost.State.GONE, e.weight(), 0, e.cell(), e.kind(), e.zone())).toList(), true);
    }

    void republish() {
        List<ListEntry> all = new ArrayList<>(published.values());
        push(all, all, true);
    }

    private void push(List<ListEntry> entries, List<ListEntry> means, boolean whole) {
        followers.forEach((gateway, follower) -> {
            means.forEach(e -> told(gateway, e));
            time.after(oneWay, () -> {
                if (followers.get(gateway) == follower) {
                    follower.listed(entries, whole);
                }
            });
        });
    }

    private void told(int gateway, ListEntry e) {
        tape.put("list", "told", "gateway", gateway, "host", e.address().id(), "state",
            e.state().name().toLowerCase(java.util.Locale.ROOT), "startedAt", e.startedAt());
    }

    /** Follows from now on: the whole list as published comes first. */
    void follow(int gateway, Follower follower) {
        followers.put(gateway, follower);
        List<ListEntry> all = new ArrayList<>(published.values());
        all.forEach(e -> told(gateway, e));
        time.after(oneWay, () -> follower.listed(all, true));
    }

    void leave(int gateway) {
        followers.remove(gateway);
    }
}
