package org.damaskmoor.node.internal.target;

import org.damaskmoor.schema.mesh.CallAnswer;

/** The outcome of a call that was handed over to the upstream. Immutable and thread-safe. */
sealed interface UpstreamOutcome {
    /**
     * A complete answer.
     *
     * @param answer the answer, without request id and load
     */
    record Answered(CallAnswer answer) implements UpstreamOutcome {}

    /**
     * The call certainly did not run.
     *
     * @param unreachable true if no connection could be opened, false if the upstream answered "not
     *     run"
     * @param refusedBelow whether a node further down the call chain refused
     */
    record NotRun(boolean unreachable, boolean refusedBelow) implements UpstreamOutcome {}

    /**
     * No complete answer; the call may have run.
     *
     * @param detail what happened
     * @param connectionLost true if the connection was lost, false if the time ran out
     */
    record Failed(String detail, boolean connectionLost) implements UpstreamOutcome {}
}
