package cypressvalve.lab;

import cypressvalve.admission.Gate;
import cypressvalve.config.Service;
import cypressvalve.fleet.ListEntry;
import cypressvalve.fleet.ListFollower;
import cypressvalve.session.CoreEvents;
import cypressvalve.session.SessionCore;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A gateway in simulated time: the very core and Control that the program runs, over the laboratory's hosts. */
final class LabGateway {
    /** Nothing is ever late here, so nothing is paced; open requests are bounded as in the program. */
    private static final Gate.Limits ADMISSION = new Gate.Limits(Gate.Limits.DEFAULT.open(), Long.MAX_VALUE / 2);
    private static final int SESSIONS = 20_000;

    /** Where a gateway stands: what it may use. */
    record Place(Simulation time, Service service, int number, int of, String zone, long seed, LabClient client, LabList list,
        boolean takeUp, CoreEvents events) { }

    private final Place place;
    private final Front front;
    private final List<Runnable> killed = new ArrayList<>();
    private boolean alive = true;

    /** @param takeUp whether it begins with the service */
    LabGateway(Simulation time, Service service, int number, int of, String zone, long seed, List<LabHost> hosts, LabList list,
        long oneWay, boolean takeUp, Policy policy, CoreEvents events, Consumer<Throwable> onFailure) {
        place = new Place(time, service, number, of, zone, seed, new LabClient(time, number, hosts, oneWay), list, takeUp,
            events);
        front = policy == Policy.CONTROL ? core(place, onFailure) : new Baseline(place, policy);
    }

    private static Front core(Place place, Consumer<Throwable> onFailure) {
        SessionCore core = new SessionCore(place.service, place.service.control(place.number, place.of, place.zone), place.seed,
            place.time, place.time.loop(), place.client, new ListFollower() {
                @Override
                public void follow(boolean on) {
                }

                @Override
                public void fetch() {
                }
            }, SESSIONS, ADMISSION, place.events, onFailure);
        place.client.notes = core;
        core.start();
        boolean[] first = {place.takeUp};
        place.list.follow(place.number, (List<ListEntry> entries, boolean whole) -> {
            core.listed(entries, whole);
            if (first[0]) {
                first[0] = false;
                core.takeUp();
            }
        });
        return new Front.Core(core);
    }

    int number() {
        return place.number;
    }

    Front front() {
        return front;
    }

    boolean alive() {
        return alive;
    }

    /** Runs the task when this gateway dies; viewers that wait for it then hear nothing more. */
    void whenKilled(Runnable task) {
        killed.add(task);
        // Answered ones leave a task that does nothing; they are swept out when there are many.
        if (killed.size() > 4096) {
            killed.subList(0, 2048).clear();
        }
    }

    void kill() {
        alive = false;
        place.list.leave(place.number);
        front.close();
        place.client.close();
        killed.forEach(Runnable::run);
        killed.clear();
    }
}
