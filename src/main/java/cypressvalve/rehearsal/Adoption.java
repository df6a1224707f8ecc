package cypressvalve.rehearsal;

import cypressvalve.config.Service;
import cypressvalve.standin.Player;
import cypressvalve.trouble.DayScript;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** Sessions that play before the day begins: at which gateway, under which name, on which holder that has room. */
public final class Adoption {
    private static final long SECOND = 1_000_000_000L;

    /** A media host that may take one. */
    public interface Host {
        boolean adopt(String session, int gateway, String title, String plan, int rung, String about);
    }

    /** One that was taken. */
    public record Adopted(int gateway, String id) { }

    private final DayScript day;
    private final Map<String, Integer> seats = new HashMap<>();
    private long made;

    public Adoption(DayScript day) {
        this.day = day;
    }

    /**
     * Lets a viewer's session play.
     *
     * @param hosts by their number
     * @return null if no holder has room or no seat is free
     */
    public Adopted of(Player.Viewer viewer, Random chance, java.util.List<? extends Host> hosts) {
        Service service = day.service();
        Service.TitleRow title = service.titles().get(viewer.title());
        Service.PlanRow plan = service.plans().get(viewer.plan());
        int gateway = chance.nextInt(day.gateways().count());
        String seat = gateway + "/" + viewer.plan() + "/" + viewer.title();
        if (plan.seats() > 0 && seats.getOrDefault(seat, 0) >= plan.seats()) {
            return null;
        }
        String id = "g" + gateway + "-" + String.format("%024x", ++made);
        int rung = Math.max(plan.floor(), Math.min(Math.min(viewer.screen(), plan.top()),
            service.ladder().length / 2));
        String about = viewer.screen() + " " + viewer.hint() * SECOND + " " + viewer.tenant() + " ";
        for (int i = 0; i < title.copies(); i++) {
            int cell = (title.first() + i) % service.fleet().cells();
            if (cell < hosts.size() && hosts.get(cell).adopt(id + ".0", gateway, title.key(), plan.name(), rung, about)) {
                seats.merge(seat, 1, Integer::sum);
                return new Adopted(gateway, id);
            }
        }
        return null;
    }
}
