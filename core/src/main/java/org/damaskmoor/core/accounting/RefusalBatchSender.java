package org.damaskmoor.core.accounting;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalBatch;

/**
 * Hands a batch to the mesh. Must not block nor throw; a batch that cannot be sent is as good as
 * lost, and the writer notices by the silence.
 */
@FunctionalInterface
public interface RefusalBatchSender {
    /** Sends {@code batch} to {@code peer}. */
    void send(NodeId peer, RefusalBatch batch);
}
