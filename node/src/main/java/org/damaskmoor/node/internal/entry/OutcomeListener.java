package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Notified of the outcome of each request, for metrics, logs and service levels. Called on the
 * caller event loop.
 */
public interface OutcomeListener {
    /** The upstream's answer was sent to the caller. */
    void onAnswered(CallTemplate template, int status);

    /** The caller received the outcome "not run". */
    void onRefused(CallTemplate template, RefusalReason reason);

    /** The caller received the outcome "unknown". */
    void onUnknown(CallTemplate template, UnknownOutcomeStep step, NodeId peer);

    /** Returns a listener that notifies this listener first, then the other. */
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
