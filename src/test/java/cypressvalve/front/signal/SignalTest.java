package cypressvalve.front.signal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.model.Plan;
import cypressvalve.model.Settings;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The codec of viewers' messages, and which set-ups can be understood. */
class SignalTest {
    private static final Settings SETTINGS = new Settings();

    static {
        SETTINGS.plansByName.put("paid", new Plan());
        SETTINGS.tenants.put("acme", 0);
        SETTINGS.cells = 12;
    }

    private static byte[] setUp(long session, Map<Integer, String> changed) {
        Map<Integer, String> all = new TreeMap<>(Map.of(129, "paid", 132, "1500", 135, "acme", 141, "7f3a9c21e0b4d655", 159,
            "8200.0", 144, "home:4;copies:3;top:4;viewer:00000000b4d65521", 174, "v=0\r\n"));
        all.putAll(changed);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        all.forEach((code, value) -> {
            if (value != null) {
                out.write(code);
                out.write(value.length() >> 8);
                out.write(value.length());
                out.writeBytes(value.getBytes(StandardCharsets.UTF_8));
            }
        });
        return ByteBuffer.allocate(11 + out.size()).putShort((short) (9 + out.size())).put((byte) 1).putLong(session)
            .put(out.toByteArray()).array();
    }

    private static Map<Integer, String> with(int code, String value) {
        Map<Integer, String> changed = new TreeMap<>();
        changed.put(code, value);
        return changed;
    }

    private static Signal read(byte[] bytes, int step) throws Signal.Unreadable {
        Signal.Reader reader = new Signal.Reader();
        Signal last = null;
        for (int i = 0; i < bytes.length; i += step) {
            assertNull(last, "a message ends with its last byte");
            last = reader.next(ByteBuffer.wrap(bytes, i, Math.min(step, bytes.length - i)));
        }
        return last;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 1000})
    void aSetUpIsUnderstoodHoweverItsBytesAreCut(int step) throws Exception {
        Wish wish = Wish.read(read(setUp(0x9b1f03aa5c7e2d41L, Map.of()), step), SETTINGS);
        assertEquals("9b1f03aa5c7e2d41", wish.ask().offer().id());
        assertEquals("7f3a9c21e0b4d655", wish.ask().title());
        assertEquals(1_500_000_000L, wish.ask().patience());
        assertEquals(8_200_000_000L, wish.ask().hint());
        assertEquals(4, wish.ask().offer().first());
        assertEquals(4, wish.ask().ceiling());
        assertArrayEquals("v=0\r\n".getBytes(StandardCharsets.UTF_8), wish.ask().offer().description());
        assertNull(wish.at());
    }

    @Test
    void whatPlaysAlreadyNamesItsHostAndNeedsNoDescription() throws Exception {
        Map<Integer, String> changed = with(174, null);
        changed.put(144, "home:4;copies:3;top:4;at:s-00c41f7a");
        assertEquals("s-00c41f7a", Wish.read(read(setUp(1, changed), 100), SETTINGS).at());
    }

    @ParameterizedTest
    @CsvSource({"129,free", "129,", "135,nobody", "132,-5", "132,NaN", "132,1e99", "132,soon", "141,", "141,a/b", "144,",
        "144,home", "144,home:12;copies:3", "144,home:-1;copies:3", "144,home:1.5;copies:3", "144,copies:3", "159,many",
        "174,"})
    void whatCanNotBeUnderstoodIsRefused(int code, String value) throws Exception {
        Signal signal = read(setUp(1, with(code, value)), 1000);
        assertThrows(Wish.Refused.class, () -> Wish.read(signal, SETTINGS));
    }

    @Test
    void noSessionAndParametersThatOverrunAreRefused() throws Exception {
        Signal none = read(setUp(0, Map.of()), 1000);
        assertThrows(Wish.Refused.class, () -> Wish.read(none, SETTINGS));
        byte[] overrun = setUp(1, Map.of());
        overrun[12] = 0x7f;
        Signal signal = read(overrun, 1000);
        assertThrows(Wish.Refused.class, () -> Wish.read(signal, SETTINGS));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 8, 16 * 1024 + 1, 65535})
    void lengthsOutOfRangeAreUnreadableAtOnce(int length) {
        byte[] start = {(byte) (length >> 8), (byte) length};
        assertThrows(Signal.Unreadable.class, () -> new Signal.Reader().next(ByteBuffer.wrap(start)));
    }

    @Test
    void answersAreWrittenAsThePageHasThem() throws Exception {
        assertArrayEquals(new byte[] {0, 13, 12, 0, 0, 0, 0, 0, 0, 0, 1, (byte) 171, 0, 1, 34},
            Signal.message(Signal.RELEASE, 1, 34));
        Signal answer = read(Signal.message(Signal.ANSWER, -1, Signal.DESCRIPTION, new byte[] {5}), 1000);
        assertEquals("ffffffffffffffff", answer.id());
        assertTrue(answer.whole());
        assertArrayEquals(new byte[] {5}, answer.parameters().get(Signal.DESCRIPTION));
    }

    /** Guards against clients that take memory by a length alone. */
    @Test
    void aReaderHoldsNoMoreThanHasCome() throws Exception {
        Signal.Reader reader = new Signal.Reader();
        reader.next(ByteBuffer.wrap(new byte[] {0x40, 0, 1, 2, 3}));
        assertEquals(0, reader.heldBytes());
    }
}
