import java.io.IOException;

/** A media host whose machine vanishes. Once another has its address, that knows nothing of its connections and resets them. */
final class Vanishing extends Host {
    private volatile boolean replaced;

    Vanishing(Lab lab, String name) {
        super(lab, name);
    }

    @Override
    void take(Connection connection, Message m) {
        if (!replaced) {
            super.take(connection, m);
            return;
        }
        lab.note("the new machine resets a connection to " + name + ", which it does not know");
        try {
            connection.socket.setSoLinger(true, 0);
            connection.socket.close();
        } catch (IOException e) {
            // It is over.
        }
    }

    void vanish() {
        cutOff();
        sessions.clear();
    }

    /** Another is started at its address. */
    void replacedBy(Host next) throws IOException, InterruptedException {
        replaced = true;
        heal();
        stopListening();
        next.listen(port);
        lab.note(next.name + " is started at the address of " + name);
    }
}
