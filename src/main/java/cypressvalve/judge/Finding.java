package cypressvalve.judge;

import cypressvalve.tape.TapeRecord;
import java.util.List;

/**
 * A rule that the tape shows broken.
 *
 * @param rule from 1 to 6
 * @param records those that show it, oldest first
 */
public record Finding(int rule, String what, List<TapeRecord> records) { }
