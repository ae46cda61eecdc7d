package org.damaskmoor.relay.internal.link;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkFrame;

/**
 * Frames that wait for a connection. Confined to the event loop. Invariant: holds at most {@link
 * #MAX_FRAMES}.
 */
final class QueuedFrames {
    private static final int MAX_FRAMES = 64;

    private final List<LinkFrame> frames = new ArrayList<>();

    /** Adds a frame, or returns false if the queue is full. */
    boolean offer(LinkFrame frame) {
        return frames.size() < MAX_FRAMES && frames.add(frame);
    }

    /** Whether a frame meets a condition. */
    boolean contains(Predicate<LinkFrame> condition) {
        return frames.stream().anyMatch(condition);
    }

    /** Removes the calls of a request. */
    void removeCall(long sequence) {
        frames.removeIf(frame -> frame.hasCall() && frame.getCall().getSequence() == sequence);
    }

    /** Removes all frames and passes them on. */
    void drainTo(Consumer<LinkFrame> writer) {
        frames.forEach(writer);
        frames.clear();
    }

    /** Removes all frames and returns the calls among them. */
    List<ForwardedCall> removeAll() {
        List<ForwardedCall> calls = calls();
        frames.clear();
        return calls;
    }

    /** Removes all frames but seals and returns the calls among them. */
    List<ForwardedCall> removeAllButSeals() {
        List<ForwardedCall> calls = calls();
        frames.removeIf(frame -> !frame.hasSeal());
        return calls;
    }

    private List<ForwardedCall> calls() {
        return frames.stream().filter(LinkFrame::hasCall).map(LinkFrame::getCall).toList();
    }
}
