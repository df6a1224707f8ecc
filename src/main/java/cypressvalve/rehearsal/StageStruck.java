package cypressvalve.rehearsal;

import cypressvalve.trouble.Struck;

/** Troubles on sockets. */
public final class StageStruck implements Struck {
    private final Stage stage;

    public StageStruck(Stage stage) {
        this.stage = stage;
    }

    @Override
    public int hosts() {
        return stage.hosts().size();
    }

    @Override
    public int racks() {
        return stage.uplinks().size();
    }

    @Override
    public void crash(int host) {
        stage.hosts().get(host).crash();
        stage.listed(host, "gone", stage.day().hosts().notice());
    }

    @Override
    public void restart(int host) {
        if (!stage.hosts().get(host).fallen()) {
            stage.hosts().get(host).start(false);
            stage.listed(host, "active", stage.day().hosts().add());
        }
    }

    @Override
    public void hang(int host, boolean on) {
        stage.hosts().get(host).faults().hang = on;
    }

    @Override
    public void errors(int host, double share) {
        stage.hosts().get(host).faults().errors = share;
    }

    @Override
    public void answersLost(int host, boolean on) {
        stage.hosts().get(host).faults().answersLost = on;
    }

    @Override
    public void notesLater(int host, long by) {
        stage.hosts().get(host).faults().notesLate += by;
    }

    @Override
    public void link(int host, double part) {
        stage.hosts().get(host).faults().link = part;
    }

    @Override
    public void uplink(int rack, double part) {
        stage.uplinks().get(rack).weaken(part);
    }

    @Override
    public void drain(int host) {
        stage.listed(host, "draining", stage.day().hosts().add());
    }

    @Override
    public void listStale(long by) {
        stage.list().stale(by);
    }

    @Override
    public void listEmpty(boolean on) {
        if (on) {
            stage.list().dropAll();
        } else {
            stage.list().republish();
        }
    }

    @Override
    public void gateway(int number, boolean up) {
        if (up) {
            stage.startGateway(number);
        } else {
            stage.killGateway(number);
        }
    }
}
