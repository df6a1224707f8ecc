package cypressvalve.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Server-sent events (WHATWG HTML, section 9.2) out of bytes as they come: only data fields are looked at, comments
 * and other fields are passed over. An event larger than the bound is dropped whole.
 */
public final class EventReader {
    private final Consumer<String> events;
    private final int bound;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;
    private boolean tooLarge;

    /** @param bound bytes that one event may have */
    public EventReader(int bound, Consumer<String> events) {
        this.bound = bound;
        this.events = events;
    }

    /** Takes the next bytes; whole events are handed on in order. */
    public void take(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b != '\n') {
                if (line.size() < bound) {
                    line.write(b);
                } else {
                    tooLarge = true;
                }
            } else {
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                take(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            }
        }
    }

    private void take(String text) {
        if (text.isEmpty()) {
            if (hasData && !tooLarge) {
                events.accept(data.toString());
            }
            data.setLength(0);
            hasData = false;
            tooLarge = false;
        } else if (text.startsWith("data:")) {
            String value = text.substring(5);
            if (data.length() + value.length() > bound) {
                tooLarge = true;
                return;
            }
            data.append(hasData ? "\n" : "").append(value.startsWith(" ") ? value.substring(1) : value);
            hasData = true;
        }
    }
}
