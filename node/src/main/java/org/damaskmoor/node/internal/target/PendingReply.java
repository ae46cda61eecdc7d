package org.damaskmoor.node.internal.target;

import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.mesh.MeshLink;

/**
 * Who waits for the outcome of a call, and over which connection. Immutable and thread-safe.
 *
 * @param id the request
 * @param attempt the attempt that was heard of last
 * @param link the connection over which it was heard of
 */
record PendingReply(RequestId id, int attempt, MeshLink link) {}
