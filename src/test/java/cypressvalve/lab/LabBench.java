package cypressvalve.lab;

import cypressvalve.config.Doc;
import cypressvalve.trouble.DayScript;
import java.util.Locale;

/**
 * By hand, through bench/lab: simulated seconds a wall second and heap as the fleet grows, with as many gateways and
 * viewers to each host; a quarter of the hosts crashes in mid-day and comes back cold.
 */
final class LabBench {
    private static final String DAY = """
        day: {name: grown, seed: 3, length: 30s}
        gateways: {count: GATEWAYS}
        hosts: {count: HOSTS, link: 2400, link-spread: 0.2, uplink: 19000, uplink-spread: 0.1, cores: 2, queue: 20,
                work: 20ms, vary: 0.1}
        titles: {recorded: HOSTS, live: 8, copies: 4, zipf: 0.8, length: 120s}
        viewers: {rate: HOSTS, at-start: START, length: 15s, plans: {plain: 0.6, air: 0.4}}
        troubles: [{kind: crash, at: 8s, length: 8s, part: 0.25}]
        service:
          ladder: [40, 80, 160, 300]
          revenue: [0.3, 0.55, 0.8, 1]
          join: 0.3
          plans:
            - {name: plain, startup: 1s, abandon: 4s}
            - {name: air, startup: 1500ms, abandon: 3s, live: true}
          fleet: {cells: HOSTS, racks: RACKS, link: 2400, uplink: 19000, kinds: [{name: std, places: 60}]}
          rules: {drain-grace: 500ms, cold: {time: 8s, share: 0.4, multiple: 2.5, window: 1500ms}}
          reports: {via: answers, note-period: 2500ms, note-delay: 400ms}
        """;

    private LabBench() {
    }

    public static void main(String[] args) {
        System.setProperty("cypressvalve.log.level", "ERROR");
        System.out.println("hosts  gateways  viewers  simulated s/wall s  events/s  heap MB  startup met  delivered  rules "
            + "broken");
        for (String size : args.length > 0 ? args : new String[] {"30", "30", "100", "310"}) {
            int hosts = Integer.parseInt(size);
            int gateways = Math.max(1, hosts * 320 / 310);
            Doc doc = Doc.parse("grown", DAY.replace("GATEWAYS", "" + gateways).replace("START", "" + 6 * hosts)
                .replace("RACKS", "" + Math.max(1, hosts / 10)).replace("HOSTS", "" + hosts));
            DayScript day = DayScript.read(doc);
            doc.verify();
            long began = System.nanoTime();
            Lab lab = new Lab(day);
            long broken = lab.play(share -> { }).values().stream().filter(f -> !f.isEmpty()).count();
            double wall = (System.nanoTime() - began) / 1e9;
            System.gc();
            long heap = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory() >> 20;
            System.out.printf(Locale.ROOT, "%5d  %8d  %7d  %.2f  %.0f  %d  %.3f  %.3f  %d%n", hosts, gateways,
                lab.summary().viewers(), (day.length() / 1e9 + 5) / wall, lab.events() / wall, heap,
                lab.summary().startupMet(), lab.summary().deliveredShare(), broken);
        }
    }
}
