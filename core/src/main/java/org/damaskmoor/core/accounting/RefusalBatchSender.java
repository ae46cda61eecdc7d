package org.damaskmoor.core.accounting;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalBatch;

/**
 * Sends refusal batches over the mesh. Must neither block nor throw: a batch that cannot be sent
 * counts as lost, which {@link RefusalReplicator} detects by the missing acknowledgement.
 */
@FunctionalInterface
public interface RefusalBatchSender {
    /** Sends {@code batch} to {@code peer}. */
    void send(NodeId peer, RefusalBatch batch);
}
