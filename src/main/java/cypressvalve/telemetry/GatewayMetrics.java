package cypressvalve.telemetry;

import cypressvalve.admission.Gate;
import cypressvalve.entitlement.Refusal;
import cypressvalve.model.Departure;
import cypressvalve.model.MediaHost;
import cypressvalve.model.Verdict;
import cypressvalve.session.CoreEvents;
import cypressvalve.session.Session;
import cypressvalve.session.SessionCore;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A gateway's metrics by Micrometer; docs/on-call.md tells what each is looked at for. */
public final class GatewayMetrics implements CoreEvents {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Tags own;
    private final Timer delay;
    private final Map<Departure, Counter> departures = new EnumMap<>(Departure.class);

    public GatewayMetrics(int gateway) {
        own = Tags.of("gateway", String.valueOf(gateway));
        for (Departure what : Departure.values()) {
            departures.put(what, Counter.builder("cypressvalve.departures").tags(own)
                .tag("departure", word(what)).register(registry));
        }
        delay = Timer.builder("cypressvalve.loop.delay").description("how long the loop kept a due task waiting")
            .tags(own).publishPercentiles(0.5, 0.99).register(registry);
    }

    private void time(String name, long nanos, Tag... tags) {
        Timer.builder(name).tags(own).tags(java.util.Arrays.asList(tags)).publishPercentileHistogram()
            .register(registry).record(nanos, TimeUnit.NANOSECONDS);
    }

    private void count(String name, Tag... tags) {
        Counter.builder(name).tags(own).tags(java.util.Arrays.asList(tags)).register(registry).increment();
    }

    @Override
    public void answered(String outcome, String plan, long took) {
        time("cypressvalve.answers", took, Tag.of("outcome", outcome), Tag.of("plan", plan));
    }

    @Override
    public void tried(Verdict verdict, long took) {
        time("cypressvalve.tries", took, Tag.of("verdict", word(verdict)));
    }

    @Override
    public void refused(Gate.Refusal why, String tenant) {
        count("cypressvalve.admission.refused", Tag.of("limit", word(why)), Tag.of("tenant", tenant));
    }

    /** A request without a token that is good for it. */
    public void unentitled(Refusal why) {
        count("cypressvalve.entitlement.refused", Tag.of("why", word(why)));
    }

    @Override
    public void rungStep(int to) {
        count("cypressvalve.rung.steps", Tag.of("to", String.valueOf(to)));
    }

    @Override
    public void ended(Session.End end) {
        count("cypressvalve.sessions.ended", Tag.of("why", word(end)));
    }

    @Override
    public void departed(Departure what) {
        departures.get(what).increment();
    }

    @Override
    public void loopDelay(long waited) {
        delay.record(waited, TimeUnit.NANOSECONDS);
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /** What the core holds, read when asked for: on the core's loop only. */
    public void bind(SessionCore core) {
        Gauge.builder("cypressvalve.admission.open", () -> core.gate().open()).tags(own).register(registry);
        Gauge.builder("cypressvalve.admission.pace", () -> core.gate().pace()).tags(own).register(registry);
        for (Session.State state : Session.State.values()) {
            Gauge.builder("cypressvalve.sessions", () -> core.held(state)).tags(own).tag("state", word(state))
                .register(registry);
        }
        for (MediaHost.State state : MediaHost.State.values()) {
            Gauge.builder("cypressvalve.hosts", () -> core.hosts(state)).tags(own).tag("state", word(state))
                .register(registry);
        }
    }

    /** All metrics as text; on the core's loop. */
    public String scrape() {
        return registry.scrape();
    }
}
