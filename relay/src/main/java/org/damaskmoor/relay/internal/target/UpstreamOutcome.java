package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import java.util.List;
import org.damaskmoor.schema.mesh.HeaderField;

/** The outcome of a call that was sent to the upstream. Immutable and thread-safe. */
sealed interface UpstreamOutcome {
    /** The upstream sent a complete answer. */
    record Answered(
            int status,
            List<HeaderField> headers,
            ByteString body,
            UpstreamReport report,
            AnswerOrigin origin)
            implements UpstreamOutcome {}

    /** The upstream certainly did not run the call. */
    record NotRun(Cause cause, UpstreamReport report) implements UpstreamOutcome {}

    /**
     * No complete answer arrived: it is unknown whether the call ran.
     *
     * @param connectionBroken whether the connection ended, as when the upstream was restarted;
     *     otherwise the answer was faulty
     */
    record Failed(String detail, boolean connectionBroken) implements UpstreamOutcome {}

    /** Why the upstream did not run a call. */
    enum Cause {
        /** No connection could be opened. */
        UNREACHABLE,
        /** The upstream refused the call: it was full, or the deadline had passed. */
        SHED,
        /** Another upstream has the address. */
        OTHER_UPSTREAM
    }
}
