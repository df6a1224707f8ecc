package cypressvalve.lab;

import cypressvalve.host.Carried;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.host.HostLimits;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.model.Verdict;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A gateway's way to media hosts in simulated time; each message takes the same time each way. */
final class LabClient implements HostClient {
    private final Simulation time;
    private final int gateway;
    private final List<LabHost> hosts;
    private final long oneWay;
    private final HostLimits limits;
    private final Map<Long, Boolean> following = new HashMap<>();
    Notes notes;
    private boolean closed;

    LabClient(Simulation time, int gateway, List<LabHost> hosts, long oneWay) {
        this.time = time;
        this.gateway = gateway;
        this.hosts = hosts;
        this.oneWay = oneWay;
        limits = HostLimits.DEFAULT;
    }

    private LabHost host(HostAddress address) {
        return hosts.get((int) address.id());
    }

    @Override
    public Call setUp(HostAddress address, SetUpOrder order, SetUpResult result) {
        boolean[] told = new boolean[1];
        Ending once = (verdict, report) -> {
            if (told[0] || closed) {
                return;
            }
            told[0] = true;
            if (verdict == null) {
                result.started(report);
                return;
            }
            if (verdict == Verdict.TIMEOUT || verdict == Verdict.BROKEN || verdict == Verdict.WITHDRAWN) {
                release(address, order.name()); // It may still run: what is given up must not play on.
            }
            result.cameBack(verdict, report);
        };
        time.after(oneWay, () -> {
            LabHost host = host(address);
            if (!host.up()) {
                time.after(oneWay, () -> once.told(Verdict.NO_CONNECTION, LoadReport.NONE));
            } else {
                host.setUp(gateway, order, (verdict, report) -> time.after(oneWay, () -> once.told(verdict, report)));
            }
        });
        time.after(order.maxWait(), () -> once.told(Verdict.TIMEOUT, LoadReport.NONE));
        return () -> time.after(0, () -> once.told(Verdict.WITHDRAWN, LoadReport.NONE));
    }

    /** The one result of a set-up. */
    private interface Ending {
        void told(Verdict verdict, LoadReport report);
    }

    private void reach(HostAddress address, Consumer<LabHost> what, int left) {
        time.after(oneWay, () -> {
            if (host(address).up()) {
                what.accept(host(address));
            } else if (left > 0 && !closed) {
                time.after(limits.callTimeout(), () -> reach(address, what, left - 1));
            }
        });
    }

    @Override
    public void setRung(HostAddress address, String session, int rung) {
        reach(address, h -> h.rung(session, rung), limits.repeats());
    }

    @Override
    public void release(HostAddress address, String session) {
        reach(address, h -> h.release(session), limits.repeats());
    }

    @Override
    public void probe(HostAddress address, ProbeResult result) {
        time.after(oneWay, () -> {
            LabHost host = host(address);
            if (!host.up()) {
                time.after(oneWay, () -> tell(result, Verdict.NO_CONNECTION, LoadReport.NONE));
            } else if (host.hang) {
                time.after(limits.callTimeout() - oneWay, () -> tell(result, Verdict.TIMEOUT, LoadReport.NONE));
            } else {
                LoadReport report = host.probed();
                time.after(oneWay, () -> tell(result, Verdict.OK, report));
            }
        });
    }

    private void tell(ProbeResult result, Verdict verdict, LoadReport report) {
        if (!closed) {
            result.probed(verdict, report);
        }
    }

    @Override
    public void carried(HostAddress address, Consumer<List<Carried>> result) {
        time.after(oneWay, () -> {
            List<Carried> all = host(address).up() ? host(address).carried(gateway) : List.of();
            time.after(oneWay, () -> {
                if (!closed) {
                    result.accept(all);
                }
            });
        });
    }

    @Override
    public void freeLinks(HostAddress host) {
    }

    @Override
    public void follow(HostAddress address, boolean on) {
        following.put(address.id(), on);
        time.after(oneWay, () -> {
            LabHost host = host(address);
            if (!on || !following.getOrDefault(address.id(), false)) {
                host.listen(gateway, null);
            } else if (host.up()) {
                host.listen(gateway, listener(address));
            } else {
                time.after(oneWay, () -> lost(address));
            }
        });
    }

    private void lost(HostAddress address) {
        if (!closed && following.getOrDefault(address.id(), false)) {
            notes.lost(address.id());
        }
    }

    private LabHost.Listener listener(HostAddress address) {
        return new LabHost.Listener() {
            @Override
            public void delivered(String session, double share) {
                if (!closed) {
                    notes.delivered(address.id(), session, share);
                }
            }

            @Override
            public void load(String session, LoadReport report) {
                if (!closed) {
                    notes.load(address.id(), session, report);
                }
            }

            @Override
            public void lost() {
                // The stream breaks, and the try to open it again fails.
                time.after(3 * oneWay, () -> LabClient.this.lost(address));
            }
        };
    }

    @Override
    public void close() {
        closed = true;
        hosts.forEach(h -> h.listen(gateway, null));
    }
}
