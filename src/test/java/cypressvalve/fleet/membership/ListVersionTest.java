package cypressvalve.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A version of the list is taken whole or not at all. */
class ListVersionTest {
    private static final String GOOD = "{\"version\": 5, \"whole\": true, \"hosts\": [{\"id\": 1, \"uri\": "
        + "\"http://127.0.0.1:90\", \"state\": \"active\", \"weight\": 2, \"startedAt\": 7, \"cell\": 0, "
        + "\"kind\": \"std\"}, {\"id\": 2, \"uri\": \"http://127.0.0.1:91\", \"state\": \"gone\", \"weight\": 1, "
        + "\"cell\": 1, \"kind\": \"std\"}]}";

    private static ListVersion read(String text) throws ListVersion.Refused {
        return ListVersion.read(text, 3, Set.of("std"));
    }

    @Test
    void aGoodVersionIsRead() throws ListVersion.Refused {
        ListVersion version = read(GOOD);
        assertEquals(2, version.entries().size());
        assertEquals(7, version.entries().get(0).startedAt());
        assertTrue(version.follows(-1) && version.follows(5) && !version.follows(6));
    }

    @Test
    void aChangeFollowsOnlyAKnownOlderList() throws ListVersion.Refused {
        ListVersion change = read(GOOD.replace("true", "false"));
        assertTrue(!change.follows(-1) && change.follows(4) && !change.follows(5));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"id\": 2 | \"id\": 1 | hosts[1].id", "\"weight\": 1 | \"weight\": -1 | hosts[1].weight",
        "\"weight\": 1 | \"weight\": 0 | hosts[1].weight", "\"cell\": 1 | \"cell\": 3 | hosts[1].cell",
        "\"gone\" | \"asleep\" | hosts[1].state", ":91 | : | hosts[1].uri", "http://127.0.0.1:91 | file:///x | hosts[1].uri",
        "\"startedAt\": 7 | \"startedAt\": -7 | hosts[0].startedAt", "\"id\": 2 | \"id\": \"x\" | hosts[1].id",
        "}]} | } | not JSON", "\"version\": 5 | \"version\": \"5\" | version",
        "\"kind\": \"std\"}] | \"kind\": \"odd\"}] | hosts[1].kind"})
    void aVersionWithAnyFaultIsRefusedWhole(String from, String to, String field) {
        ListVersion.Refused refused = assertThrows(ListVersion.Refused.class, () -> read(GOOD.replace(from, to)));
        assertTrue(refused.getMessage().contains(field), refused.getMessage());
    }
}
