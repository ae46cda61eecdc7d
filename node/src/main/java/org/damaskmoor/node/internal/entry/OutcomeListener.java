package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalReason;

/** Told how each request ended, for metrics, logs and service levels. Caller event loop only. */
public interface OutcomeListener {
    /** The upstream's answer went to the caller. */
    void onAnswered(CallTemplate template, int status);

    /** The caller was told "not run". */
    void onRefused(CallTemplate template, RefusalReason reason);

    /** The caller was told "unknown". */
    void onUnknown(CallTemplate template, UnknownOutcomeStep step, NodeId peer);

    /** A listener that tells this one first, then the other. */
    default OutcomeListener andThen(OutcomeListener other) {
        OutcomeListener first = this;
        return new OutcomeListener() {
            @Override
            public void onAnswered(CallTemplate template, int status) {
                first.onAnswered(template, status);
                other.onAnswered(template, status);
            }

            @Override
            public void onRefused(CallTemplate template, RefusalReason reason) {
                first.onRefused(template, reason);
                other.onRefused(template, reason);
            }

            @Override
            public void onUnknown(CallTemplate template, UnknownOutcomeStep step, NodeId peer) {
                first.onUnknown(template, step, peer);
                other.onUnknown(template, step, peer);
            }
        };
    }
}
