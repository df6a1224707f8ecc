package cypressvalve.host;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.model.Verdict;
import cypressvalve.net.EventReader;
import cypressvalve.net.HttpCaller;
import io.undertow.client.ClientExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** Media hosts over HTTP, as docs/session.md has their interface. */
public final class HttpHostClient implements HostClient {
    private static final Logger LOG = LoggerFactory.getLogger(HttpHostClient.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString GATEWAY = new HttpString("Cypressvalve-Gateway");
    private static final HttpString NOT_TAKEN = new HttpString("Cypressvalve-Not-Taken");
    private static final int MOST_EVENT = 1 << 20;

    private final XnioIoThread thread;
    private final HttpCaller caller;
    private final Map<HttpString, String> headers;
    private final HostLimits limits;
    private final Notes notes;
    private final Map<Long, Listening> listening = new HashMap<>();
    private boolean closed;

    /** @param gateway this gateway's number, which hosts keep sessions by */
    public HttpHostClient(XnioIoThread thread, int gateway, HostLimits limits, Notes notes) {
        this.thread = thread;
        this.limits = limits;
        this.notes = notes;
        caller = new HttpCaller(thread, limits.connectTimeout(), limits.mostIdle());
        headers = Map.of(GATEWAY, String.valueOf(gateway));
    }

    @Override
    public Call setUp(HostAddress host, SetUpOrder order, SetUpResult result) {
        String path = "/sessions/" + order.name() + "?title=" + encoded(order.title()) + "&plan="
            + encoded(order.plan()) + "&rung=" + order.rung() + "&about=" + encoded(order.about());
        boolean[] withdrawn = new boolean[1];
        HttpCaller.Call call = caller.send(host.base(), Methods.PUT, path, headers, order.maxWait(),
            (outcome, exchange) -> {
                if (exchange != null) {
                    caller.recycle(host.base(), exchange);
                }
                if (withdrawn[0] && outcome != HttpCaller.Outcome.NEVER_SENT
                    && outcome != HttpCaller.Outcome.NO_CONNECTION) {
                    release(host, order.name(), () -> result.cameBack(Verdict.WITHDRAWN, report(exchange)));
                } else if (outcome == HttpCaller.Outcome.ANSWERED && exchange.getResponse().getResponseCode() == 201) {
                    result.started(report(exchange));
                } else {
                    Verdict verdict = verdict(outcome, exchange);
                    if (verdict == Verdict.TIMEOUT || verdict == Verdict.BROKEN) {
                        // It may still run: what is given up must not play on, and its end leaves before the next try.
                        release(host, order.name(), () -> result.cameBack(verdict, LoadReport.NONE));
                    } else {
                        result.cameBack(verdict, report(exchange));
                    }
                }
            });
        return () -> {
            withdrawn[0] = true;
            call.takeBack();
        };
    }

    /** What an outcome proves: only what left no byte, or what the host says it did not take, never ran. */
    static Verdict verdict(HttpCaller.Outcome outcome, ClientExchange exchange) {
        return switch (outcome) {
            case NO_CONNECTION -> Verdict.NO_CONNECTION;
            case NEVER_SENT -> Verdict.NOT_SENT;
            case BROKEN -> Verdict.BROKEN;
            case TIMED_OUT -> Verdict.TIMEOUT;
            case TAKEN_BACK -> Verdict.WITHDRAWN;
            case ANSWERED -> exchange.getResponse().getResponseCode() == 503
                && exchange.getResponse().getResponseHeaders().contains(NOT_TAKEN) ? Verdict.FULL : Verdict.ERROR;
        };
    }

    private static LoadReport report(ClientExchange exchange) {
        String told = exchange == null ? null : exchange.getResponse().getResponseHeaders().getFirst(Cmsd.HEADER);
        return told == null ? LoadReport.NONE : Cmsd.report(told);
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    @Override
    public void setRung(HostAddress host, String session, int rung) {
        repeat(host, Methods.PUT, "/sessions/" + session + "/rung?value=" + rung, limits.repeats(), () -> { });
    }

    @Override
    public void release(HostAddress host, String session) {
        release(host, session, () -> { });
    }

    /** @param left run once the word has left, or can't leave now */
    private void release(HostAddress host, String session, Runnable left) {
        repeat(host, Methods.DELETE, "/sessions/" + session, limits.repeats(), left);
    }

    /** Any answer is an answer; where none comes it is asked again a few times, and then left to the host's lease. */
    private void repeat(HostAddress host, HttpString method, String path, int times, Runnable left) {
        caller.send(host.base(), method, path, headers, limits.callTimeout(), left, (outcome, exchange) -> {
            if (exchange != null) {
                caller.recycle(host.base(), exchange);
            } else if (times > 0 && !closed) {
                thread.executeAfter(() -> repeat(host, method, path, times - 1, () -> { }),
                    Math.max(1, limits.callTimeout() / 1_000_000), TimeUnit.MILLISECONDS);
            }
        });
    }

    @Override
    public void probe(HostAddress host, ProbeResult result) {
        caller.send(host.base(), Methods.GET, "/probe", headers, limits.callTimeout(), (outcome, exchange) -> {
            if (exchange != null) {
                caller.recycle(host.base(), exchange);
            }
            boolean ok = outcome == HttpCaller.Outcome.ANSWERED && exchange.getResponse().getResponseCode() == 200;
            result.probed(ok ? Verdict.OK : verdict(outcome, exchange), report(exchange));
        });
    }

    @Override
    public void carried(HostAddress host, Consumer<List<Carried>> result) {
        caller.send(host.base(), Methods.GET, "/carried", headers, limits.callTimeout(), (outcome, exchange) -> {
            if (exchange == null || exchange.getResponse().getResponseCode() != 200) {
                IoUtils.safeClose(exchange == null ? null : exchange.getConnection());
                result.accept(List.of());
                return;
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            caller.read(exchange, new HttpCaller.Stream() {
                @Override
                public void bytes(ByteBuffer data) {
                    while (data.hasRemaining() && body.size() <= MOST_EVENT) {
                        body.write(data.get());
                    }
                }

                @Override
                public void closed() {
                    IoUtils.safeClose(exchange.getConnection());
                    thread.execute(() -> result.accept(sessions(host, body.toByteArray())));
                }
            });
        });
    }

    private static List<Carried> sessions(HostAddress host, byte[] body) {
        List<Carried> all = new ArrayList<>();
        try {
            for (JsonNode s : JSON.readTree(body)) {
                all.add(new Carried(s.path("session").asText(), s.path("title").asText(), s.path("plan").asText(),
                    s.path("rung").asInt(), s.path("about").asText()));
            }
        } catch (IOException e) {
            LOG.warn("what a host carries is not JSON, or too long {}", kv("host", host.id()));
            return List.of();
        }
        return all;
    }

    @Override
    public void freeLinks(HostAddress host) {
        caller.free(host.base());
    }

    @Override
    public void follow(HostAddress host, boolean on) {
        Listening old = listening.get(host.id());
        if (on && old == null) {
            Listening fresh = new Listening(host);
            listening.put(host.id(), fresh);
            fresh.connect(false);
        } else if (!on && old != null) {
            listening.remove(host.id());
            old.stop();
        }
    }

    @Override
    public void close() {
        closed = true;
        listening.values().forEach(Listening::stop);
        listening.clear();
        caller.close();
    }

    /** The notes of one host while this gateway has sessions there. */
    private final class Listening {
        private final HostAddress host;
        private boolean over;
        private ClientExchange exchange;

        private Listening(HostAddress host) {
            this.host = host;
        }

        /** A break alone does not prove a loss: the host is asked once more what it carries. */
        private void connect(boolean again) {
            long askedAt = System.nanoTime();
            caller.send(host.base(), Methods.GET, "/notes", headers, limits.callTimeout(), (outcome, answered) -> {
                if (over) {
                    IoUtils.safeClose(answered == null ? null : answered.getConnection());
                } else if (answered == null || answered.getResponse().getResponseCode() != 200) {
                    IoUtils.safeClose(answered == null ? null : answered.getConnection());
                    if (again || outcome == HttpCaller.Outcome.NO_CONNECTION) {
                        lost();
                    } else {
                        connect(true);
                    }
                } else {
                    exchange = answered;
                    EventReader events = new EventReader(MOST_EVENT, text -> note(text, askedAt));
                    caller.read(answered, new HttpCaller.Stream() {
                        @Override
                        public void bytes(ByteBuffer data) {
                            events.take(data);
                        }

                        @Override
                        public void closed() {
                            IoUtils.safeClose(answered.getConnection());
                            if (!over) {
                                thread.execute(() -> {
                                    if (!over) {
                                        connect(true);
                                    }
                                });
                            }
                        }
                    });
                }
            });
        }

        private void lost() {
            LOG.warn("media host lost {}", kv("host", host.id()));
            listening.remove(host.id(), this);
            over = true;
            notes.lost(host.id());
        }

        private void note(String text, long askedAt) {
            if (over) {
                return;
            }
            try {
                JsonNode note = JSON.readTree(text);
                String session = note.path("session").asText("");
                switch (note.path("sort").asText("")) {
                    case "carried" -> {
                        Set<String> carried = new HashSet<>();
                        note.path("sessions").forEach(s -> carried.add(s.asText()));
                        notes.carried(host.id(), carried, askedAt);
                    }
                    case "delivered" -> notes.delivered(host.id(), session, note.path("value").asDouble(1));
                    case "load" -> notes.load(host.id(), session, new LoadReport(
                        note.path("link").asDouble(Double.NaN), note.path("uplink").asDouble(Double.NaN)));
                    case "ended" -> notes.ended(host.id(), session, Verdict.OK);
                    default -> LOG.warn("a note of an unknown sort {}", kv("host", host.id()));
                }
            } catch (JsonProcessingException e) {
                LOG.warn("a note that is not JSON {}", kv("host", host.id()));
            }
        }

        private void stop() {
            over = true;
            if (exchange != null) {
                IoUtils.safeClose(exchange.getConnection());
            }
        }
    }
}
