package org.damaskmoor.node.internal.target;

import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.mesh.MeshLink;

/**
 * An entry node that waits for the outcome of a call. Immutable and thread-safe.
 *
 * @param id the request id
 * @param attempt the attempt named in its last message about the call
 * @param link the connection on which that message arrived
 */
record PendingReply(RequestId id, int attempt, MeshLink link) {}
