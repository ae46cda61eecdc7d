package org.damaskmoor.core.upstream;

import java.util.Objects;

/**
 * An upstream's own name of its current incarnation. A later incarnation may have the same name.
 * Immutable and thread-safe.
 *
 * @param value the name; not empty
 */
public record UpstreamId(String value) {
    public UpstreamId {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("An upstream id must not be empty.");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
