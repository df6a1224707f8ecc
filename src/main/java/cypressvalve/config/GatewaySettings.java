package cypressvalve.config;

import cypressvalve.admission.Gate;
import cypressvalve.host.HostLimits;
import java.net.URI;
import java.nio.file.Path;

/**
 * The settings of one gateway's process. Times are nanoseconds.
 *
 * @param keys the file with the key set of session URIs, null for a set of its own that dies with the process
 * @param accessLog the file of the access log, null for none
 * @param takeUp whether it begins with the service: its list is fresh, and what hosts carry for it is taken up
 * @param clockError what the operator's time service says the clock may be off by
 * @param uriExpiry how long a session's URIs hold
 * @param entitlement how viewers' tokens are read, null where none is needed
 */
public record GatewaySettings(int number, int of, String zone, String listenHost, int listenPort, long seed, URI list,
    Path keys, Path accessLog, boolean takeUp, long clockError, long uriExpiry, Limits limits, HostLimits hosts, Service service,
    Entitlement entitlement) {

    /**
     * Viewers need tokens.
     *
     * @param keys the file with the issuer's key set
     * @param skew how far the issuer's clock may be off, ten minutes at most
     * @param grace how long one plays on past its token's end
     */
    public record Entitlement(Path keys, String issuer, long skew, long grace) { }

    /** Bounds on what clients may do. */
    public record Limits(int sessions, int connections, int headerBytes, int headers, int parameters,
        long requestTimeout, long idleTimeout, Gate.Limits admission) {
        /** What settings have where they say nothing; docs/on-call.md tells what each guards against. */
        public static final Limits DEFAULT = new Limits(20_000, 20_000, 8192, 100, 32, 10_000_000_000L,
            60_000_000_000L, Gate.Limits.DEFAULT);
    }

    /** Reads a gateway's settings file whole; faults go to the file's list. */
    public static GatewaySettings read(Doc doc) {
        Doc.Section root = doc.root();
        Doc.Section g = root.section("gateway");
        int of = (int) g.whole("of", 1, 100_000);
        String[] listen = address(g, "listen");
        URI list = uri(g, "list");
        String keys = g.text("keys", "");
        String accessLog = g.text("access-log", "");
        Doc.Section l = g.optional("limits");
        Limits d = Limits.DEFAULT;
        Limits limits = new Limits((int) l.whole("sessions", 1, 10_000_000, d.sessions),
            (int) l.whole("connections", 1, 10_000_000, d.connections),
            (int) l.whole("header-bytes", 256, 1 << 20, d.headerBytes), (int) l.whole("headers", 4, 10_000, d.headers),
            (int) l.whole("parameters", 4, 10_000, d.parameters), l.time("request-timeout", d.requestTimeout),
            l.time("idle-timeout", d.idleTimeout),
            new Gate.Limits((int) l.whole("open-requests", 1, 1_000_000, d.admission.open()),
                l.time("loop-late", d.admission.late())));
        Doc.Section h = g.optional("hosts");
        HostLimits hd = HostLimits.DEFAULT;
        HostLimits hosts = new HostLimits(h.time("connect-timeout", hd.connectTimeout()),
            h.time("call-timeout", hd.callTimeout()), (int) h.whole("repeats", 0, 100, hd.repeats()),
            (int) h.whole("idle-connections", 0, 1000, hd.mostIdle()));
        return new GatewaySettings((int) g.whole("number", 0, Math.max(0, of - 1)), of, g.text("zone", ""), listen[0],
            Integer.parseInt(listen[1]), g.whole("seed", Long.MIN_VALUE, Long.MAX_VALUE, 0), list,
            keys.isEmpty() ? null : Path.of(keys), accessLog.isEmpty() ? null : Path.of(accessLog), g.flag("take-up", false),
            g.time("clock-error", 0), g.time("uri-expiry", 43_200_000_000_000L), limits, hosts, Service.read(root.section("service")),
            g.has("entitlement") ? entitlement(g.section("entitlement")) : null);
    }

    private static Entitlement entitlement(Doc.Section e) {
        Entitlement read = new Entitlement(Path.of(e.text("keys", "")), e.text("issuer", ""),
            e.time("skew", 30_000_000_000L), e.time("grace", 30_000_000_000L));
        if (read.keys.toString().isEmpty()) {
            e.wrong("keys", "the file with the issuer's key set");
        }
        if (read.issuer.isEmpty()) {
            e.wrong("issuer", "the issuer's name, as its tokens have it");
        }
        if (read.skew > MOST_SKEW) {
            e.wrong("skew", "ten minutes at most");
        }
        return read;
    }

    private static final long MOST_SKEW = 600_000_000_000L;

    private static String[] address(Doc.Section g, String key) {
        String text = g.text(key, "127.0.0.1:0");
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")
            || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
            g.wrong(key, "an address such as 127.0.0.1:8080");
            return new String[] {"127.0.0.1", "0"};
        }
        return new String[] {text.substring(0, colon), text.substring(colon + 1)};
    }

    private static URI uri(Doc.Section g, String key) {
        try {
            URI uri = URI.create(g.text(key));
            if ("http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            // Told below like any other text that is no such URI.
        }
        g.wrong(key, "a URI such as http://127.0.0.1:9000/list");
        return URI.create("http://127.0.0.1:1/list");
    }
}
