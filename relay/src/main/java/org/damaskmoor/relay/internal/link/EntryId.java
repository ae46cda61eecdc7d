package org.damaskmoor.relay.internal.link;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;

/**
 * The entry at the other end of a link. Immutable and thread-safe.
 *
 * @param node the entry node
 * @param incarnation its incarnation
 */
public record EntryId(NodeId node, Incarnation incarnation) {}
