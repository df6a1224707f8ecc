package cypressvalve.adapter;

/** Input that is not the wire's. The message is a plain sentence for the operator. */
final class BadInput extends RuntimeException {
    BadInput(String message) {
        super(message, null, false, false);
    }
}
