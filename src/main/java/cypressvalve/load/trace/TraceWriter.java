package cypressvalve.load.trace;

import com.google.protobuf.CodedOutputStream;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.wire.End;
import cypressvalve.load.trace.wire.Frame;
import cypressvalve.load.trace.wire.Header;
import cypressvalve.load.trace.wire.Names;
import cypressvalve.load.trace.wire.Playback;
import cypressvalve.load.trace.wire.Try;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Writes a trace: eight bytes that name it, then frames, each its length (varint), its bytes and their CRC-32C; the
 * last has the checksum of all before it. The file appears under its name only when it is whole.
 */
public final class TraceWriter implements Closeable {
    static final byte[] MAGIC = {'C', 'V', 'T', 'R', 'A', 'C', 'E', 1};
    static final int VERSION = 1;

    private final Path file;
    private final Path unfinished;
    private final OutputStream out;
    private final CRC32C all = new CRC32C();
    private final CRC32C one = new CRC32C();
    private final Map<String, Integer> names = new HashMap<>();
    private final long begins;
    private long frames;
    private boolean whole;

    public TraceWriter(Path file, Header header) throws IOException {
        this.file = file;
        this.begins = header.getBegins();
        unfinished = file.resolveSibling(file.getFileName() + ".part");
        out = new BufferedOutputStream(Files.newOutputStream(unfinished), 1 << 16);
        raw(MAGIC);
        put(Frame.newBuilder().setHeader(header.toBuilder().setVersion(VERSION)).build());
    }

    private void raw(byte[] bytes) throws IOException {
        out.write(bytes);
        all.update(bytes);
    }

    private void put(Frame frame) throws IOException {
        byte[] bytes = frame.toByteArray();
        byte[] length = new byte[CodedOutputStream.computeUInt32SizeNoTag(bytes.length)];
        CodedOutputStream coded = CodedOutputStream.newInstance(length);
        coded.writeUInt32NoTag(bytes.length);
        coded.flush();
        one.reset();
        one.update(bytes);
        int sum = (int) one.getValue();
        raw(length);
        raw(bytes);
        raw(new byte[] {(byte) (sum >>> 24), (byte) (sum >>> 16), (byte) (sum >>> 8), (byte) sum});
        frames++;
    }

    private int number(String name) throws IOException {
        Integer known = names.get(name);
        if (known != null) {
            return known;
        }
        names.put(name, names.size());
        put(Frame.newBuilder().setNames(Names.newBuilder().addName(name)).build());
        return names.size() - 1;
    }

    /** Adds a playback; they come in the order of their beginnings. */
    public void put(Played p) throws IOException {
        Playback.Builder b = Playback.newBuilder().setAt(p.at() - begins).addAllKey(p.keys())
            .setTitle(number(p.title())).setPlan(number(p.plan())).setTenant(number(p.tenant())).setScreen(p.screen())
            .setHint(p.hint()).setLength(p.length()).setFirstSegment(p.firstSegment())
            .setLastSegment(p.lastSegment()).setSegments(p.segments()).setBytes(p.bytes()).setPatience(p.patience())
            .setHeadless(p.headless()).setOutlasts(p.outlasts()).setCutShort(p.cutShort()).setLive(p.live())
            .setStarted(p.started());
        for (Played.Try t : p.tries()) {
            b.addTries(Try.newBuilder().setAfter(t.after()).setStatus(t.status()).setTook(t.took()));
        }
        put(Frame.newBuilder().setPlayback(b).build());
    }

    /** Makes the file whole and gives it its name. */
    public void finish() throws IOException {
        put(Frame.newBuilder().setEnd(End.newBuilder().setFrames(frames).setChecksum((int) all.getValue())).build());
        out.close();
        Files.move(unfinished, file, StandardCopyOption.REPLACE_EXISTING);
        whole = true;
    }

    /** Leaves no file behind unless it was finished. */
    @Override
    public void close() throws IOException {
        if (!whole) {
            out.close();
            Files.deleteIfExists(unfinished);
        }
    }
}
