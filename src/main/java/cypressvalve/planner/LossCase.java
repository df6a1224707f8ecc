package cypressvalve.planner;

import cypressvalve.trouble.DayScript;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * What is lost: which hosts, racks or gateways, or the list. Where a zone or rack is not named the one is taken whose
 * loss leaves the least room, by the estimate of {@link Fluid}. Free of I/O.
 *
 * @param sort what kind of loss
 * @param name what it is called in answers
 * @param hosts numbers of the hosts that are lost, none for a list or gateways
 * @param gateways numbers of the gateways that are lost
 */
public record LossCase(Sort sort, String name, List<Integer> hosts, List<Integer> gateways) {
    /** Kinds of loss. */
    public enum Sort { ZONE, RACK, PART, LIST, GATEWAYS }

    /** A case that the day's fleet does not have; the message says what it has. */
    public static final class Impossible extends Exception {
        private static final long serialVersionUID = 1;

        public Impossible(String why) {
            super(why);
        }
    }

    /** A zone's hosts, and its gateways. */
    public static LossCase zone(DayScript day, Integer zone, Demand demand) throws Impossible {
        int zones = day.hosts().zones();
        if (zones < 2) {
            throw new Impossible("the fleet has one zone only: hosts.zones says how many its racks stand in");
        }
        if (zone != null && (zone < 0 || zone >= zones)) {
            throw new Impossible("expected a zone from 0 to " + (zones - 1));
        }
        int worst = zone != null ? zone : worst(day, zones, z -> inZone(day, z), demand);
        return new LossCase(Sort.ZONE, "zone " + worst, inZone(day, worst), IntStream.range(0, day.gateways().count())
            .filter(g -> g % zones == worst).boxed().toList());
    }

    /** A rack's hosts. */
    public static LossCase rack(DayScript day, Integer rack, Demand demand) throws Impossible {
        int racks = day.service().fleet().racks();
        if (rack != null && (rack < 0 || rack >= racks)) {
            throw new Impossible("expected a rack from 0 to " + (racks - 1));
        }
        int worst = rack != null ? rack : worst(day, racks, r -> inRack(day, r), demand);
        return new LossCase(Sort.RACK, "rack " + worst, inRack(day, worst), List.of());
    }

    /** A part of the hosts, one in so many, which takes as few holders of one title as can be. */
    public static LossCase part(DayScript day, double part) {
        int all = day.hosts().count();
        int lost = (int) Math.max(1, Math.min(all, Math.round(all * part)));
        return new LossCase(Sort.PART, Math.round(part * 100) + " percent of the hosts",
            IntStream.range(0, lost).mapToObj(i -> (int) ((long) i * all / lost)).toList(), List.of());
    }

    /** The list of media hosts is silent, while a part of the hosts crashes; null for none. */
    public static LossCase list(DayScript day, Double part) {
        return new LossCase(Sort.LIST, "the list's word" + (part == null ? "" : " while " + part(day, part).name + " crash"),
            part == null ? List.of() : part(day, part).hosts, List.of());
    }

    /** A part of the gateways. */
    public static LossCase gateways(DayScript day, double part) {
        int all = day.gateways().count();
        int lost = (int) Math.max(1, Math.min(all, Math.round(all * part)));
        return new LossCase(Sort.GATEWAYS, Math.round(part * 100) + " percent of the gateways", List.of(),
            IntStream.range(0, lost).mapToObj(i -> (int) ((long) i * all / lost)).toList());
    }

    private static List<Integer> inRack(DayScript day, int rack) {
        return IntStream.range(0, day.hosts().count()).filter(h -> day.rackOf(h) == rack).boxed().toList();
    }

    private static List<Integer> inZone(DayScript day, int zone) {
        return IntStream.range(0, day.hosts().count())
            .filter(h -> day.rackOf(h) % day.hosts().zones() == zone).boxed().toList();
    }

    private static int worst(DayScript day, int count, java.util.function.IntFunction<List<Integer>> hosts,
        Demand demand) {
        return IntStream.range(0, count).boxed().min(Comparator.<Integer>comparingDouble(i -> {
            Fluid.Estimate left = Fluid.without(Fleet.of(day), demand, hosts.apply(i));
            return left.first().until();
        }).thenComparingInt(i -> i)).orElse(0);
    }

    /** Seconds from the loss until the last of it is back. */
    public double longest(ReturnPlan back, double away) {
        return Math.max(away, back.starts().stream().mapToDouble(ReturnPlan.Start::at).max().orElse(0));
    }

    /**
     * The loss and the return as a day's troubles.
     *
     * @param at seconds into the day
     * @param away seconds until gateways, or the list's word, are back
     */
    public List<Map<String, Object>> troubles(ReturnPlan back, double at, double away) {
        List<Map<String, Object>> all = new ArrayList<>(back.troubles(at));
        String from = Math.round(at * 1e6) + "us";
        String length = Math.round(away * 1e6) + "us";
        if (!gateways.isEmpty()) {
            all.add(Map.of("kind", "balancer-crash", "at", from, "length", length, "only", gateways));
        }
        if (sort == Sort.LIST) {
            all.add(Map.of("kind", "discovery-stale", "at", from, "length", length, "size", away));
        }
        return all;
    }
}
