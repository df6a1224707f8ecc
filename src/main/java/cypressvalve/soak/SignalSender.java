package cypressvalve.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Sends signals to processes by one shell that stays, as a fault may need some hundred of them a second. */
final class SignalSender implements AutoCloseable {
    private final Process shell;
    private final OutputStream commands;

    SignalSender() throws IOException {
        shell = new ProcessBuilder("/bin/sh").redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        commands = shell.getOutputStream();
    }

    /** @param signal its name without SIG */
    synchronized void send(String signal, long processId) throws IOException {
        commands.write(("kill -" + signal + " " + processId + "\n").getBytes(StandardCharsets.US_ASCII));
        commands.flush();
    }

    @Override
    public void close() {
        shell.destroy();
    }
}
