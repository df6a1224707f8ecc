package cypressvalve.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.standin.ListServer;
import cypressvalve.tape.Tape;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The stand-in list service as a process, fed with changes on standard input. */
@Command(name = "list-service", mixinStandardHelpOptions = true, description = "Runs the stand-in list service. Each "
    + "line of standard input is a JSON array of changed hosts (id, uri, state, weight, startedAt, cell, kind, zone). "
    + "It ends with its input.")
final class ListServiceCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        ObjectMapper json = new ObjectMapper();
        ListServer list = new ListServer(Tape.heard());
        System.out.println("list service listens on " + list.uri());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        int number = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            number++;
            if (!line.isBlank()) {
                try {
                    list.change(json.readValue(line, new TypeReference<List<ListServer.Entry>>() { }), 0);
                } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                    System.err.println("standard input:" + number + ": expected a JSON array of hosts");
                }
            }
        }
        list.close();
        return 0;
    }
}
