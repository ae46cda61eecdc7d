package org.damaskmoor.core.id;

import java.util.Objects;

/**
 * Identifier of a node, unique in the whole system and kept across restarts of its VM.
 *
 * <p>Invariant: {@code value} is not empty. Immutable and thread-safe.
 *
 * @param value the id from the node's settings
 */
public record NodeId(String value) implements Comparable<NodeId> {
    public NodeId {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("A node id must not be empty.");
        }
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
