package org.damaskmoor.node.internal.target;

import org.damaskmoor.schema.mesh.CallAnswer;

/** What came of a call that was handed to the upstream. Immutable and thread-safe. */
sealed interface UpstreamOutcome {
    /**
     * A whole answer.
     *
     * @param answer the answer, without request id and load
     */
    record Answered(CallAnswer answer) implements UpstreamOutcome {}

    /**
     * The upstream truthfully did not run it.
     *
     * @param unreachable whether no connection could be opened, rather than an answer "not run"
     * @param refusedBelow whether a node further down refused
     */
    record NotRun(boolean unreachable, boolean refusedBelow) implements UpstreamOutcome {}

    /**
     * No whole answer: it may have run.
     *
     * @param detail what happened
     * @param connectionLost whether the connection ended, rather than the time
     */
    record Failed(String detail, boolean connectionLost) implements UpstreamOutcome {}
}
