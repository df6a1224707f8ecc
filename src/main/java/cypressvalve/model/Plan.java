package cypressvalve.model;

/** A plan of playback: one row of the table that the settings give. */
public final class Plan {
    /** What doing a set-up twice means. */
    public enum Effect { REPEATABLE, BY_KEY, ONCE }

    /** How far a second set-up of a BY_KEY plan may go from the first. */
    public enum Scope { ALL, ZONE, CELL }

    public Effect effect = Effect.REPEATABLE;
    public Scope scope = Scope.ALL;
    public long keyWindow;
    public long startupTarget;
    public double revenue = 1;
    public boolean live;
    public int floor;
    public int top = Integer.MAX_VALUE;
    public int seats;
    /** Rate of each rung, kB a second. */
    public double[] rates = {1};
}
