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

    private final int number;
    private final SessionCore core;
    private final LabClient client;
    private final LabList list;
    private final List<Runnable> killed = new ArrayList<>();
    private boolean alive = true;

    /** @param takeUp whether it begins with the service */
    LabGateway(Simulation time, Service service, int number, int of, long seed, List<LabHost> hosts, LabList list,
        long oneWay, boolean takeUp, Consumer<Throwable> onFailure) {
        this.number = number;
        this.list = list;
        client = new LabClient(time, number, hosts, oneWay);
        core = new SessionCore(service, service.control(number, of, ""), seed, time, time.loop(), client,
            new ListFollower() {
                @Override
                public void follow(boolean on) {
                }

                @Override
                public void fetch() {
                }
            }, SESSIONS, ADMISSION, CoreEvents.NONE, onFailure);
        client.notes = core;
        core.start();
        boolean[] first = {takeUp};
        list.follow(number, (List<ListEntry> entries, boolean whole) -> {
            core.listed(entries, whole);
            if (first[0]) {
                first[0] = false;
                core.takeUp();
            }
        });
    }

    int number() {
        return number;
    }

    SessionCore core() {
        return core;
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
        list.leave(number);
        core.close();
        client.close();
        killed.forEach(Runnable::run);
        killed.clear();
    }
}
