/**
 * A gateway's configuration, in the form of the deployment page. Its settings are of santiago-main, within the ranges of that site:
 * classes, deadlines, aims, rules, link and places.
 */
final class Config {
    static final String RECORDED = "recorded";
    static final String PLUS = "recorded-plus";
    static final String TENANT = "banco-austral";
    /** The rule on drains, with the slack of the protocol's page. */
    static final long DRAIN_GRACE_MS = 500;
    static final long SLACK_MS = 50;
    /** What one media host's link carries: two cores with 6.9 playbacks each at the middle rate. */
    static final int LINK_KB = 10_000;
    /** The middle rate of the ladder. */
    static final double MIDDLE_KB = 725;
    static final int PLACES = 21;
    static final double OVERLOAD = 2.5;
    static final long FALL_MS = 1_500;
    static final long COLD_MS = 12_000;

    String name = "n1";
    int memoryMb = 128;
    int sockets = 256;
    int gateways = 2;
    int cells = 3;
    int plusSeats = 2;

    String text(Coordinator coordinator) {
        return "{\"name\": \"" + name + "\", \"listen\": \"127.0.0.1:0\", \"seed\": \"5a17c0de00c0ffee\",\n"
            + " \"limits\": {\"cores\": 1.0, \"memory_mb\": " + memoryMb + ", \"sockets\": " + sockets + "},\n"
            + " \"coordinator\": \"" + coordinator.address() + "\",\n \"known\": " + coordinator.known() + ",\n"
            + " \"settings\": {\"me\": 0, \"instances\": " + gateways + ", \"locality\": \"santiago-1\", \"azs\": [\"santiago-1\"],\n"
            + "  \"shapes\": [\"two-core\"], \"registryMode\": \"pushed\", \"family\": \"streams\", \"overShareWorth\": 0.2,\n"
            + "  \"familyInfo\": {\"places\": " + cells + ", \"shelves\": 1, \"placesByKind\": [" + PLACES + "],\n"
            + "   \"ladderKb\": [290.0, 508.0, 725.0, 1200.0, 2100.0], \"levelWorth\": [0.22, 0.44, 0.64, 0.82, 1.0],\n"
            + "   \"floorByClass\": [0, 0, 0], \"classTop\": [4, 4, 4], \"classSeats\": [0, " + plusSeats + ", 0], \"rateFactor\": [1.0, 1.4, 1.0],\n"
            + "   \"classLive\": [false, false, true], \"sharedAdds\": 0.3, \"fleetKb\": " + (double) cells * LINK_KB
            + ", \"weightKb\": " + LINK_KB + ", \"uplinkKb\": " + (double) cells * LINK_KB + ",\n"
            + "   \"fullFrom\": 1.0, \"seenAfterNs\": 700000000, \"stall\": 8.0, \"switchS\": 0.58, \"tellNs\": 0},\n"
            + "  \"services\": [" + service(RECORDED, 1000, 4000, 1) + ",\n   " + service(PLUS, 1000, 3000, 2) + ",\n   "
            + service("live", 1500, 3000, 1) + "],\n"
            + "  \"tenants\": [{\"name\": \"" + TENANT + "\", \"share\": 0.47, \"allowancePerS\": 0},\n"
            + "   {\"name\": \"caja-andina\", \"share\": 0.29, \"allowancePerS\": 0}, {\"name\": \"coop-del-maule\", \"share\": 0.24, \"allowancePerS\": 0}],\n"
            + "  \"limits\": {\"probes\": true, \"cancelling\": true, \"mostTries\": 3, \"connIdleNs\": 15000000000,\n"
            + "   \"connectTimeoutNs\": 250000000, \"streamsPerConn\": 32, \"secondCopies\": false, \"maxOpen\": 1000000},\n"
            + "  \"rules\": {\"coldNs\": " + COLD_MS + "000000, \"coldShare\": 0.4, \"overloadFactor\": " + OVERLOAD + ", \"fallNs\": " + FALL_MS
            + "000000,\n   \"drainGraceNs\": " + DRAIN_GRACE_MS + "000000, \"graceToAnswerNs\": 40000000, \"askWithinNs\": 10000000000},\n"
            + "  \"stats\": {\"via\": \"on_probe\", \"fields\": [\"inflight\", \"x0\"]}}}\n";
    }

    private static String service(String plan, long aimMs, long giveUpMs, int worth) {
        return "{\"name\": \"" + plan + "\", \"aimNs\": " + aimMs + "000000, \"giveUpNs\": " + giveUpMs
            + "000000, \"effect\": \"repeatable\", \"importance\": " + worth + ", \"stream\": true, \"lateShare\": 0.0}";
    }
}
