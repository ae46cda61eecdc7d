package org.damaskmoor.relay.internal.link;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;

/**
 * Identifies the entry at the other end of a link. Immutable and thread-safe.
 *
 * @param node the entry node
 * @param incarnation the incarnation of the node
 */
public record EntryId(NodeId node, Incarnation incarnation) {}
