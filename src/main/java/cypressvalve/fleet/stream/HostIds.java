package cypressvalve.fleet.stream;

/** Numbers of media hosts by their names on the platform; the same at every gateway, as homes hang on them. */
public final class HostIds {
    private HostIds() {
    }

    /** A number of 0 or more, from the whole name: two hosts whose names end alike are two. */
    public static long of(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 32) * 0xBF58476D1CE4E5B9L;
        return (hash ^ hash >>> 29) & Long.MAX_VALUE;
    }
}
