package cypressvalve.load.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.wire.Header;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TraceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long T0 = 1_774_746_000L * SECOND;

    @TempDir
    Path directory;

    private static Played played(double s, long key, String title) {
        return new Played(T0 + Math.round(s * SECOND), List.of(key, key + 1), title, "p", "north", 2, 30, 20 * SECOND,
            List.of(new Played.Try(0, 503, 5), new Played.Try(2 * SECOND, 200, 7)), 0, 4, 5, 1000, 0, false, false,
            false, true, true);
    }

    private Path write(String name, List<Played> all) throws IOException {
        Path file = directory.resolve(name);
        long begins = all.isEmpty() ? T0 : all.get(0).at();
        long end = all.stream().mapToLong(Played::end).max().orElse(begins);
        try (TraceWriter out = new TraceWriter(file, Header.newBuilder().setBegins(begins).setSpan(end - begins)
            .setIdle(60 * SECOND).setPlaybacks(all.size()).build())) {
            for (Played p : all) {
                out.put(p);
            }
            out.finish();
        }
        return file;
    }

    private static List<Played> read(Path file) throws IOException {
        List<Played> all = new ArrayList<>();
        try (TraceReader in = TraceReader.open(file)) {
            for (Played p = in.next(); p != null; p = in.next()) {
                all.add(p);
            }
        }
        return all;
    }

    private static List<Played> hundred() {
        List<Played> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(played(i * 0.3, 1000 + i * 10, "t" + i % 7));
        }
        return all;
    }

    @Test
    void whatWasWrittenIsRead() throws IOException {
        assertEquals(hundred(), read(write("a", hundred())));
        assertEquals(List.of(), read(write("b", List.of())));
    }

    @Test
    void everyCutAndEveryAlteredByteIsToldWithItsPlace() throws IOException {
        byte[] whole = Files.readAllBytes(write("a", hundred().subList(0, 5)));
        Path damaged = directory.resolve("damaged");
        for (int i = 0; i < whole.length; i++) {
            Files.write(damaged, Arrays.copyOf(whole, i));
            BadTrace cut = assertThrows(BadTrace.class, () -> TraceReader.open(damaged));
            assertTrue(cut.offset() <= i, cut.getMessage());
            byte[] altered = whole.clone();
            altered[i] ^= 0x20;
            Files.write(damaged, altered);
            assertThrows(BadTrace.class, () -> TraceReader.open(damaged), "byte " + i);
        }
        byte[] longer = Arrays.copyOf(whole, whole.length + 1);
        Files.write(damaged, longer);
        assertEquals(whole.length, assertThrows(BadTrace.class, () -> TraceReader.open(damaged)).offset());
    }

    @Test
    void aWholeFrameTakenOutIsMissed() throws IOException {
        Path one = write("one", hundred().subList(0, 1));
        Path two = write("two", hundred().subList(0, 2));
        byte[] a = Files.readAllBytes(one);
        byte[] b = Files.readAllBytes(two);
        // The end of the longer file after the frames of the shorter: each frame is sound, the sum is not.
        int end = 0;
        while (a[end] == b[end] || end < 12) {
            end++;
        }
        byte[] mixed = Arrays.copyOf(a, a.length);
        System.arraycopy(b, b.length - 12, mixed, a.length - 12, 12);
        Path file = directory.resolve("mixed");
        Files.write(file, mixed);
        assertThrows(BadTrace.class, () -> TraceReader.open(file));
    }

    @Test
    void anUnfinishedTraceLeavesNoFile() throws IOException {
        Path file = directory.resolve("never");
        try (TraceWriter out = new TraceWriter(file, Header.getDefaultInstance())) {
            out.put(played(0, 1, "t"));
        }
        try (var left = Files.list(directory)) {
            assertEquals(0, left.count());
        }
    }

    @Test
    void runsOnDiskComeOutInOrder() throws IOException {
        List<Played> all = hundred();
        List<Played> shuffled = new ArrayList<>(all);
        java.util.Collections.shuffle(shuffled, new java.util.Random(3));
        List<Played> sorted = new ArrayList<>();
        try (Runs runs = new Runs(7)) {
            for (Played p : shuffled) {
                runs.add(p);
            }
            runs.drain(sorted::add);
        }
        assertEquals(all, sorted);
    }

    @Test
    void cutShiftAndThin() throws IOException {
        Path trace = write("a", hundred());
        Path out = directory.resolve("out");
        TraceEdit.cut(trace, out, 3 * SECOND, 6 * SECOND);
        assertEquals(hundred().stream().filter(p -> p.at() >= T0 + 3 * SECOND && p.at() < T0 + 6 * SECOND).toList(),
            read(out));
        TraceEdit.shift(trace, out, -9 * SECOND);
        assertEquals(T0 - 9 * SECOND, read(out).get(0).at());
        TraceEdit.thin(trace, out, 0.3, 5);
        List<Played> thin = read(out);
        assertTrue(thin.size() > 15 && thin.size() < 45, "30 of 100, not " + thin.size());
        assertTrue(hundred().containsAll(thin));
        TraceEdit.thin(trace, out, 0.3, 5);
        assertEquals(thin, read(out));
    }

    @Test
    void multiplyKeepsEachSecondsShareAndTheTitlesRanks() throws IOException {
        Path out = directory.resolve("out");
        TraceEdit.multiply(write("a", hundred()), out, 4, 9);
        TreeMap<Long, Integer> before = new TreeMap<>();
        TreeMap<Long, Integer> after = new TreeMap<>();
        hundred().forEach(p -> before.merge(p.at() / SECOND, 4, Integer::sum));
        List<Played> all = read(out);
        all.forEach(p -> after.merge(p.at() / SECOND, 1, Integer::sum));
        assertEquals(before, after);
        assertEquals(400, all.stream().map(p -> p.keys().get(0)).distinct().count(), "each is a viewer of its own");
        assertEquals(60, all.stream().filter(p -> p.title().equals("t0")).count());
    }

    @Test
    void joinTakesOpenPlaybacksTogetherOnceOnly() throws IOException {
        Played open = new Played(T0, List.of(7L), "t", "p", "", 1, 0, 8 * SECOND, List.of(new Played.Try(0, 200, 0)), 0, 1,
            2, 10, 0, false, true, false, false, true);
        Played rest = new Played(T0 + 12 * SECOND, List.of(7L), "t", "p", "", 2, 0, 4 * SECOND, List.of(), 2, 3, 2, 10, 0,
            true, true, false, false, true);
        Played other = new Played(T0 + 13 * SECOND, List.of(7L), "t", "p", "", 2, 0, 4 * SECOND, List.of(), 2, 3, 2, 10,
            0, true, true, false, false, true);
        Path out = directory.resolve("out");
        TraceEdit.join(write("a", List.of(open)), write("b", List.of(rest, other)), out);
        List<Played> all = read(out);
        assertEquals(2, all.size());
        assertEquals(16 * SECOND, all.get(0).length());
        assertEquals(4, all.get(0).segments());
        assertFalse(all.get(0).headless());
        assertTrue(all.get(1).headless());
        assertThrows(IOException.class, () -> TraceEdit.join(directory.resolve("b"), directory.resolve("a"), out));
    }
}
