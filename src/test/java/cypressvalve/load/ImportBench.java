package cypressvalve.load;

import cypressvalve.config.Doc;
import cypressvalve.load.make.SourceMaker;
import cypressvalve.load.map.Mapping;
import cypressvalve.load.source.LineSplitter;
import cypressvalve.load.trace.wire.Header;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.zip.GZIPInputStream;

/**
 * By hand, through bench/import: how fast a long log is imported, as a ratio to unpacking it and splitting its lines
 * in the same run, and in how much heap.
 */
final class ImportBench {
    private static final long SECOND = 1_000_000_000L;

    private ImportBench() {
    }

    public static void main(String[] args) throws IOException {
        long lines = Long.parseLong(args[0]);
        String form = args.length > 1 ? args[1] : "nginx";
        Path directory = Files.createTempDirectory("import-bench");
        Path log = directory.resolve("log.gz");
        try {
            // A viewer makes about 17 requests of a second's segments.
            SourceMaker.Truth truth = SourceMaker.make(log, form, ImportTest.day().service(), 1,
                lines * SECOND / 17 / 100, 100, Integer.MAX_VALUE, 16 * SECOND, SourceMaker.Faults.NONE);
            System.out.printf("%s, %d lines, %d bytes packed, heap at most %d MB%n", form, truth.lines(), Files.size(log),
                Runtime.getRuntime().maxMemory() >> 20);
            for (int round = 0; round < 3; round++) {
                long began = System.nanoTime();
                long split = 0;
                long characters = 0;
                try (InputStream in = new GZIPInputStream(new BufferedInputStream(Files.newInputStream(log), 1 << 16),
                    1 << 16)) {
                    LineSplitter splitter = new LineSplitter(in);
                    for (String line = splitter.next(); line != null; line = splitter.next()) {
                        split++;
                        characters += line.length();
                    }
                }
                double plain = (System.nanoTime() - began) / 1e9;
                String map = SourceMaker.mapping(form);
                Doc doc = Doc.parse("map", map);
                Mapping mapping = Mapping.read(doc);
                doc.verify();
                began = System.nanoTime();
                Header header = new Importer(mapping, map, Ids.plain(), "hash").run(Map.of("", List.of(log)),
                    directory.resolve("trace"), false, share -> { });
                double whole = (System.nanoTime() - began) / 1e9;
                System.out.printf(Locale.ROOT, "split %d lines (%d characters) in %.2f s, imported in %.2f s: %.0f lines a"
                    + " second, %.1f times as long; playbacks %d, used %d%n", split, characters, plain, whole,
                    split / whole, whole / plain, header.getPlaybacks(), header.getUsed());
            }
        } finally {
            try (var left = Files.list(directory)) {
                for (Path file : left.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(directory);
        }
    }
}
