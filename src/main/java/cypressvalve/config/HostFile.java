package cypressvalve.config;

/**
 * The settings of one stand-in media host run as a process. Times are nanoseconds, rates kB a second.
 *
 * @param id what the list names it by; also its cell
 * @param accessLog the file of its access log, null for none
 * @param warm whether it counts as having run for long when it starts
 */
public record HostFile(int id, int port, boolean warm, double link, double uplink, int cores, int queue, long work,
    double vary, long lease, double noise, long seed, java.nio.file.Path accessLog, Service service) {
    /** Reads the file whole; faults go to the file's list. */
    public static HostFile read(Doc doc) {
        Doc.Section h = doc.root().section("media-host");
        Service service = Service.read(doc.root().section("service"));
        String accessLog = h.text("access-log", "");
        return new HostFile((int) h.whole("id", 0, service.fleet().cells() - 1L), (int) h.whole("port", 0, 65_535, 0),
            h.flag("warm", true), h.real("link", 0.001, 1e12, service.fleet().linkPerWeight()),
            h.real("uplink", 0, 1e12, service.fleet().uplink()), (int) h.whole("cores", 1, 1024, 2),
            (int) h.whole("queue", 0, 100_000, 20), h.time("work", 20_000_000L), h.real("vary", 0, 0.6, 0.1),
            h.time("lease", 12_000_000_000L), h.real("noise", 0, 1, 0.05), h.whole("seed", 0, Long.MAX_VALUE, 1),
            accessLog.isEmpty() ? null : java.nio.file.Path.of(accessLog), service);
    }
}
