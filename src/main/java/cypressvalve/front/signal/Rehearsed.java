package cypressvalve.front.signal;

import cypressvalve.model.Settings;
import cypressvalve.session.Answer;
import cypressvalve.session.Session;
import cypressvalve.session.SessionCore;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Made-up viewers who speak the codec to a core of their own, with no socket; for warming up. */
public final class Rehearsed implements Answer {
    private final SessionCore core;
    private final Settings settings;
    private final Signal.Reader reader = new Signal.Reader();

    public Rehearsed(SessionCore core, Settings settings) {
        this.core = core;
        this.settings = settings;
    }

    /** A set-up under that number, of one title in seven, one plan after the other. */
    public void setUp(int number) {
        List<String> plans = List.copyOf(settings.plansByName.keySet());
        List<String> tenants = List.copyOf(settings.tenants.keySet());
        ByteArrayOutputStream set = new ByteArrayOutputStream();
        put(set, Signal.PLAN, plans.get(number % plans.size()));
        put(set, Signal.WAIT, "1000");
        if (!tenants.isEmpty()) {
            put(set, Signal.TENANT, tenants.get(number % tenants.size()));
        }
        put(set, Signal.TITLE, "t" + number % 7);
        put(set, Signal.HINT, "8200.0");
        put(set, Signal.FIGURES, "home:" + number % 7 % settings.cells + ";copies:3;top:" + (settings.ladder.length - 1));
        put(set, Signal.DESCRIPTION, "v=0\r\n");
        ByteBuffer message = ByteBuffer.allocate(2 + 9 + set.size());
        message.putShort((short) (9 + set.size())).put((byte) Signal.SET_UP).putLong(number).put(set.toByteArray()).flip();
        try {
            core.ask(Wish.read(reader.next(message), settings).ask(), this);
        } catch (Signal.Unreadable | Wish.Refused e) {
            throw new IllegalStateException(e);
        }
    }

    private static void put(ByteArrayOutputStream out, int code, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        out.write(code);
        out.write(bytes.length >> 8);
        out.write(bytes.length);
        out.writeBytes(bytes);
    }

    /** The viewer of that number leaves. */
    public void release(int number) {
        Session session = core.session(Signal.id(number));
        if (session != null) {
            core.end(session);
        }
    }

    @Override
    public void playing(Session session) {
        Signal.message(Signal.ANSWER, Signal.session(session.id()), Signal.DESCRIPTION, session.description());
    }

    @Override
    public void rejected(long comeBackIn) { }

    @Override
    public void failed() { }
}
