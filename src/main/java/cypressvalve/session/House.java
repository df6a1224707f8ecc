package cypressvalve.session;

import cypressvalve.config.Service;
import cypressvalve.model.Settings;
import cypressvalve.model.Title;
import java.util.HashMap;
import java.util.Map;

/** What the core leaves to the protocol whose viewers it serves. */
public interface House {
    /** Each tenant's share, by its number in the settings. */
    double[] shares();

    /** The title that is asked for, null if there is none of that name. */
    Title title(Ask ask);

    /** Nanoseconds without a word from its viewer after which a session is over; Long.MAX_VALUE where viewers say nothing. */
    long silence();

    /** Whether what plays ends when the gateway is drained. */
    boolean drainEnds();

    /** A service whose titles are all known, and whose players fetch segments while they play. */
    static House of(Service service, Settings settings) {
        Map<String, Title> titles = new HashMap<>();
        service.titles().values().forEach(row -> {
            Title title = new Title(row.key());
            title.heldBy(row.first(), row.copies());
            titles.put(row.key(), title);
        });
        return new House() {
            @Override
            public double[] shares() {
                double[] shares = new double[settings.tenants.size()];
                settings.tenants.forEach((name, number) -> shares[number] = service.tenants().get(name));
                return shares;
            }

            @Override
            public Title title(Ask ask) {
                return titles.get(ask.title());
            }

            @Override
            public long silence() {
                return Silence.after(service.segment());
            }

            @Override
            public boolean drainEnds() {
                return true;
            }
        };
    }
}
