package cypressvalve.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** The wire on standard input and output: one reply for each batch, nothing shared between instances. */
public final class Adapter {
    private static final int BANKS = 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final TreeMap<Long, Instance> instances = new TreeMap<>();
    private final List<List<Line>> banks = new ArrayList<>();
    private long lineNumber;

    private Adapter(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        for (int i = 0; i < BANKS; i++) {
            banks.add(null);
        }
    }

    /** Serves the wire until its input ends; returns the exit code. */
    public static int run(InputStream in, OutputStream out, PrintStream err) throws IOException {
        Adapter adapter = new Adapter(in, out);
        try {
            while (adapter.batch()) {
                out.flush();
            }
            return 0;
        } catch (BadInput e) {
            err.println("line " + adapter.lineNumber + ": " + e.getMessage());
            return 1;
        }
    }

    private String read() throws IOException {
        String text = in.readLine();
        if (text != null) {
            lineNumber++;
        }
        return text;
    }

    private Line next() throws IOException {
        String text = read();
        if (text == null) {
            throw new BadInput("the input ends within a batch");
        }
        return new Line(text, text.startsWith("BEGIN ") ? "profileData" : null);
    }

    /** Reads one batch and writes its reply; false at the end of input. */
    private boolean batch() throws IOException {
        String text = read();
        if (text == null) {
            return false;
        }
        Line clock = new Line(text, null);
        if (!clock.name.equals("CLOCK")) {
            throw new BadInput("a batch opens with CLOCK, not " + clock.name);
        }
        long now = clock.whole("atTimeNs");
        long serial = clock.whole("serial");
        Set<Long> touched = new LinkedHashSet<>();
        long selected = -1;
        for (Line line = next(); !line.name.equals("OVER_TO_YOU"); line = next()) {
            switch (line.name) {
                case "LIST" -> list(line);
                case "SELECT" -> selected = line.whole("gateway");
                case "BEGIN" -> {
                    instances.put(selected(line, selected), new Instance(line, now));
                    touched.add(selected);
                }
                case "HALT" -> instances.remove(known(line, selected));
                default -> {
                    Instance instance = instances.get(known(line, selected));
                    touched.add(selected);
                    instance.take(line, now, bank(line));
                }
            }
        }
        StringBuilder reply = new StringBuilder();
        for (long number : touched) {
            Instance instance = instances.get(number);
            if (instance != null && instance.hasActions()) {
                reply.append("ON_BEHALF gateway=").append(number).append('\n');
                instance.drainTo(reply);
            }
        }
        reply.append("READY serial=").append(serial).append('\n');
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private static long selected(Line line, long selected) {
        if (selected < 0) {
            throw new BadInput(line.name + ": no gateway is selected");
        }
        return selected;
    }

    private long known(Line line, long selected) {
        if (!instances.containsKey(selected(line, selected))) {
            throw new BadInput(line.name + ": gateway " + selected + " is not known");
        }
        return selected;
    }

    private void list(Line line) throws IOException {
        int number = bankNumber(line);
        long count = line.whole("records");
        if (count < 0) {
            throw line.bad("records", "a count");
        }
        List<Line> items = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            Line item = next();
            if (!item.name.equals("ITEM")) {
                throw new BadInput("LIST: " + count + " ITEM lines are due, not " + item.name);
            }
            items.add(item);
        }
        banks.set(number, items);
    }

    /** The list that a line refers to; null if it refers to none. */
    private List<Line> bank(Line line) {
        boolean refers = line.name.equals("ROSTER_CHANGE") && !"FAILED".equals(line.find("mode"));
        return refers ? banks.get(bankNumber(line)) : null;
    }

    private static int bankNumber(Line line) {
        long number = line.whole("bank");
        if (number < 0 || number >= BANKS) {
            throw line.bad("bank", "from 0 to " + (BANKS - 1));
        }
        return (int) number;
    }
}
