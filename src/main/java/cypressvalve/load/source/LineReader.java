package cypressvalve.load.source;

/** Reads one line after another of one file in one format. */
interface LineReader {
    /**
     * Reads a line into the maker.
     *
     * @return null if the line is a request, else why it asks for nothing
     */
    String read(String line, HitMaker to) throws BadLine;

    /** Lines that a directive describes. */
    record Directed(LineFormat format) implements LineReader {
        @Override
        public String read(String line, HitMaker to) throws BadLine {
            format.read(line, to);
            return null;
        }
    }
}
