package cypressvalve.load.trace;

import com.google.protobuf.InvalidProtocolBufferException;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.wire.Frame;
import cypressvalve.load.trace.wire.Header;
import cypressvalve.load.trace.wire.Playback;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Reads a trace in order. {@link #open} goes through the whole file first, so that none is used in part. */
public final class TraceReader implements Closeable {
    /** No frame is near this long; one that says so is damaged. */
    private static final int LONGEST = 1 << 24;

    private final Path file;
    private final InputStream in;
    private final CRC32C all = new CRC32C();
    private final CRC32C one = new CRC32C();
    private final List<String> names = new ArrayList<>();
    private Header header;
    private long offset;
    private long frames;
    private boolean over;
    private Played next;

    private TraceReader(Path file) throws IOException {
        this.file = file;
        in = new BufferedInputStream(Files.newInputStream(file), 1 << 16);
        try {
            for (byte expected : TraceWriter.MAGIC) {
                if (read() != expected) {
                    throw new BadTrace(file, offset - 1, "a trace of this version");
                }
            }
            Frame first = frame();
            if (first == null || !first.hasHeader()) {
                throw new BadTrace(file, offset, "a header");
            }
            header = first.getHeader();
            if (header.getVersion() != TraceWriter.VERSION) {
                throw new BadTrace(file, TraceWriter.MAGIC.length, "version " + TraceWriter.VERSION + ", not "
                    + header.getVersion());
            }
        } catch (IOException | RuntimeException e) {
            in.close();
            throw e;
        }
    }

    /**
     * Opens a trace after reading it once to its end.
     *
     * @throws BadTrace if any byte of it is missing, added or altered
     */
    public static TraceReader open(Path file) throws IOException {
        try (TraceReader check = new TraceReader(file)) {
            long at = Long.MIN_VALUE;
            for (Played p = check.next(); p != null; p = check.next()) {
                if (p.at() < at) {
                    throw new BadTrace(file, check.offset, "playbacks in the order of their beginnings");
                }
                at = p.at();
            }
        }
        return new TraceReader(file);
    }

    private int read() throws IOException {
        int b = in.read();
        if (b < 0) {
            throw new BadTrace(file, offset, "more bytes; the file is cut off");
        }
        offset++;
        return b;
    }

    private Frame frame() throws IOException {
        long began = offset;
        long sumBefore = all.getValue();
        int length = 0;
        int shift = 0;
        byte[] prefix = new byte[5];
        int n = 0;
        int b;
        do {
            b = read();
            prefix[n++] = (byte) b;
            length |= (b & 0x7f) << shift;
            shift += 7;
        } while ((b & 0x80) != 0 && n < 5);
        if (length < 0 || length > LONGEST || (b & 0x80) != 0) {
            throw new BadTrace(file, began, "a frame's length");
        }
        byte[] bytes = in.readNBytes(length);
        offset += bytes.length;
        if (bytes.length < length) {
            throw new BadTrace(file, offset, "more bytes; the file is cut off");
        }
        byte[] sum = new byte[4];
        for (int i = 0; i < 4; i++) {
            sum[i] = (byte) read();
        }
        one.reset();
        one.update(bytes);
        int told = (sum[0] & 0xff) << 24 | (sum[1] & 0xff) << 16 | (sum[2] & 0xff) << 8 | sum[3] & 0xff;
        if (told != (int) one.getValue()) {
            throw new BadTrace(file, began, "a frame as it was written; its checksum differs");
        }
        Frame frame;
        try {
            frame = Frame.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new BadTrace(file, began, "a frame");
        }
        if (frame.hasEnd()) {
            if (frame.getEnd().getChecksum() != (int) sumBefore || frame.getEnd().getFrames() != frames) {
                throw new BadTrace(file, began, "the checksum of all frames before");
            }
            if (in.read() >= 0) {
                throw new BadTrace(file, offset, "the file's end");
            }
        }
        if (began == TraceWriter.MAGIC.length) {
            all.update(TraceWriter.MAGIC);
        }
        all.update(prefix, 0, n);
        all.update(bytes);
        all.update(sum);
        frames++;
        return frame;
    }

    /** What the file says of itself. */
    public Header header() {
        return header;
    }

    /** The next playback, or null after the last. */
    public Played next() throws IOException {
        if (next != null) {
            Played ready = next;
            next = null;
            return ready;
        }
        while (!over) {
            Frame frame = frame();
            switch (frame.getKindCase()) {
                case NAMES -> names.addAll(frame.getNames().getNameList());
                case PLAYBACK -> {
                    return played(frame.getPlayback());
                }
                case END -> over = true;
                default -> throw new BadTrace(file, offset, "a playback");
            }
        }
        return null;
    }

    /** The next playback without taking it. */
    public Played peek() throws IOException {
        if (next == null) {
            next = next();
        }
        return next;
    }

    private String name(int number) throws IOException {
        if (number < 0 || number >= names.size()) {
            throw new BadTrace(file, offset, "a name that was told before");
        }
        return names.get(number);
    }

    private Played played(Playback p) throws IOException {
        List<Played.Try> tries = p.getTriesList().stream()
            .map(t -> new Played.Try(t.getAfter(), t.getStatus(), t.getTook())).toList();
        return new Played(header.getBegins() + p.getAt(), List.copyOf(p.getKeyList()), name(p.getTitle()),
            name(p.getPlan()), name(p.getTenant()), p.getScreen(), p.getHint(), p.getLength(), tries,
            p.getFirstSegment(), p.getLastSegment(), p.getSegments(), p.getBytes(), p.getPatience(), p.getHeadless(),
            p.getOutlasts(), p.getCutShort(), p.getLive(), p.getStarted());
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
