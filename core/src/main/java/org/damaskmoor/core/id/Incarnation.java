package org.damaskmoor.core.id;

/**
 * Number of one start of a node's process; it increases with each restart of the node.
 *
 * <p>Invariant: {@code value} is positive. Immutable and thread-safe.
 *
 * @param value the number, derived from the wall clock at the start, in milliseconds since the
 *     epoch
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    public Incarnation {
        if (value <= 0) {
            throw new IllegalArgumentException(
                    "An incarnation must be positive, but was " + value + ".");
        }
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation that && value == that.value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
