package cypressvalve.fleet.stream;

/** Numbers of media hosts by their names on the platform; the same at every gateway, as homes hang on them. */
public final class HostIds {
    private HostIds() {
    }

    /** A number of 0 or more: the name's digits, where it ends on up to 15 of base 16 behind a dash, else a hash of it. */
    public static long of(String name) {
        int dash = name.lastIndexOf('-');
        String digits = name.substring(dash + 1);
        if (dash >= 0 && digits.matches("[0-9a-f]{1,15}")) {
            return Long.parseLong(digits, 16);
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash & Long.MAX_VALUE;
    }
}
