package org.damaskmoor.mesh;

import org.damaskmoor.core.id.NodeId;

/**
 * A failure of the communication with another node. Carries the step that failed and the peer.
 *
 * <p>Immutable and thread-safe.
 */
public final class MeshException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What the mesh was doing when it failed. */
    public enum Step {
        /** Opening a connection: nothing was sent. */
        CONNECT,
        /** Queueing a frame: nothing was sent. */
        ENQUEUE,
        /** Writing: the frame may or may not have arrived. */
        WRITE,
        /** Waiting for frames on an open connection. */
        READ
    }

    private final Step step;
    private final transient NodeId peer;

    public MeshException(Step step, NodeId peer, String message, Throwable cause) {
        super("step=" + step + " peer=" + peer + " " + message, cause);
        this.step = step;
        this.peer = peer;
    }

    /** Returns the step that failed. */
    public Step step() {
        return step;
    }

    /** Returns the node at the other end. */
    public NodeId peer() {
        return peer;
    }
}
