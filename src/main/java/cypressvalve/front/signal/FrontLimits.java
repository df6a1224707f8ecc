package cypressvalve.front.signal;

/**
 * What the viewers of one gateway may hold together. Of what is shared, no connection may hold more than its part.
 *
 * @param connections held at once
 * @param openRequests requests that wait for their answer
 * @param requestBytes bytes of those requests
 * @param partialBytes bytes of messages that are not whole
 * @param queuedBytes bytes that wait to be written
 */
public record FrontLimits(int connections, int openRequests, long requestBytes, long partialBytes, long queuedBytes) {
    /** Each kind of bytes gets this part of the heap; an asked request stands in it up to three times. */
    private static final int HEAP_PART = 16;

    /** The limits on bytes that fit a heap of so many bytes. */
    public static FrontLimits ofHeap(int connections, int openRequests, long heapBytes) {
        long part = heapBytes / HEAP_PART;
        return new FrontLimits(connections, openRequests, part, part, part);
    }
}
