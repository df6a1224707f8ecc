package cypressvalve.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What is short, ranked by what more of it brings: by service first, and where service is whole already by rungs. Free
 * of I/O.
 *
 * @param by which figure the ranking goes by
 * @param ranked the largest gain first
 * @param first names of those that are short first: the largest real gain and what can't be told from it; empty if
 *     nothing brings anything for sure
 */
public record Shortage(Figure by, List<Gain> ranked, List<String> first) {
    /** What gains are measured in. */
    public enum Figure { SERVICE, RUNG }

    /**
     * What a relief brings.
     *
     * @param gain mean difference from the same runs without it
     * @param half half its 95 percent interval
     */
    public record Gain(String relief, double service, double serviceHalf, double rung, double rungHalf) {
        private double of(Figure figure) {
            return figure == Figure.SERVICE ? service : rung;
        }

        private double half(Figure figure) {
            return figure == Figure.SERVICE ? serviceHalf : rungHalf;
        }
    }

    /** Service from here on is whole: what is missing is chance. */
    private static final double WHOLE = 0.985;
    /** The least gain that is worth a word: under it nobody would buy. */
    private static final double LEAST_SERVICE = 0.004;
    private static final double LEAST_RUNG = 0.02;
    /** In few runs a gain of this part of the largest can't be told from it. */
    private static final double NEAR = 0.8;

    /** Ranks what reliefs brought, beside the service without any. */
    public static Shortage of(double service, List<Gain> gains) {
        Figure by = service < WHOLE && gains.stream().anyMatch(g -> real(g, Figure.SERVICE)) ? Figure.SERVICE
            : Figure.RUNG;
        List<Gain> ranked = new ArrayList<>(gains);
        ranked.sort(Comparator.comparingDouble((Gain g) -> -g.of(by)).thenComparing(Gain::relief));
        Gain top = ranked.stream().filter(g -> real(g, by)).findFirst().orElse(null);
        List<String> first = top == null ? List.of() : ranked.stream().filter(g -> real(g, by)
            && g.of(by) + g.half(by) >= top.of(by) - top.half(by)).map(Gain::relief).toList();
        return new Shortage(by, List.copyOf(ranked), first);
    }

    /**
     * Ranks what reliefs brought in so few runs that intervals tell nothing: the largest gain is first, with what comes
     * near it. For runs that are to confirm a ranking which others found.
     */
    public static Shortage largest(double service, List<Gain> gains) {
        Figure by = service < WHOLE && gains.stream().anyMatch(g -> g.service >= LEAST_SERVICE) ? Figure.SERVICE
            : Figure.RUNG;
        List<Gain> ranked = new ArrayList<>(gains);
        ranked.sort(Comparator.comparingDouble((Gain g) -> -g.of(by)).thenComparing(Gain::relief));
        double least = by == Figure.SERVICE ? LEAST_SERVICE : LEAST_RUNG;
        return new Shortage(by, List.copyOf(ranked), ranked.stream().filter(g -> g.of(by) >= least
            && g.of(by) >= ranked.get(0).of(by) * NEAR).map(Gain::relief).toList());
    }

    /** The relief that eases a resource of the estimate. */
    public static String relieves(Fluid.Resource resource) {
        return switch (resource) {
            case LINKS -> "links";
            case UPLINKS -> "uplinks";
            case PLACES -> "places";
            case HOLDERS, HOLDER_PLACES -> "copies";
            case SEATS -> "seats";
            case SETUP_CORES -> "setup-cores";
            case GATEWAYS -> "gateways";
        };
    }

    private static boolean real(Gain g, Figure by) {
        return g.of(by) - g.half(by) > 0 && g.of(by) >= (by == Figure.SERVICE ? LEAST_SERVICE : LEAST_RUNG);
    }

    /** Whether two rankings agree on what is short first: they name one thing in common, or both none. */
    public boolean agrees(Shortage other) {
        return first.isEmpty() && other.first.isEmpty() || first.stream().anyMatch(other.first::contains);
    }
}
