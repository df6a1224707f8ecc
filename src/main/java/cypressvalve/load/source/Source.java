package cypressvalve.load.source;

import java.io.Closeable;
import java.io.IOException;

/** Lines of one server's files, one after another. */
public interface Source extends Closeable {
    /** The next line, or null after the last. */
    Item next() throws IOException;

    /** Bytes read from disk so far, for progress. */
    long read();
}
