package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.once.CallStep;
import org.damaskmoor.schema.mesh.RefusalReason;

/** Told how each request ended, for metrics, logs and service levels. Caller event loop only. */
public interface OutcomeListener {
    /** The upstream's answer went to the caller. */
    void onAnswered(CallTemplate template, int status);

    /** The caller was told "not run". */
    void onRefused(CallTemplate template, RefusalReason reason);

    /** The caller was told "unknown". */
    void onUnknown(CallTemplate template, CallStep step, NodeId peer);
}
