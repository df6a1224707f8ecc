package cypressvalve.soak;

import java.net.Socket;
import java.util.function.Consumer;

/** Tells an emulated media host which gateway is at the other end of a connection; neither call waits for anything. */
interface GatewayNames {
    /** The one gateway of a trial that has no other. */
    GatewayNames ONLY = new GatewayNames() {
        private static final String GATEWAY = "gateway";

        @Override
        public String ofRequest(String request) {
            return GATEWAY;
        }

        @Override
        public void find(Socket accepted, Consumer<String> found) {
            found.accept(GATEWAY);
        }
    };

    /** The gateway that this request was sent to; null where none is known. */
    String ofRequest(String request);

    /** Finds the gateway of a connection, of which nothing has come that tells, some time later; gives up where there is none. */
    void find(Socket accepted, Consumer<String> found);
}
