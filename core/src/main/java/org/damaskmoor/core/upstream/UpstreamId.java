package org.damaskmoor.core.upstream;

import java.util.Objects;

/**
 * Id that an upstream gives itself. A later incarnation may use the same id. Immutable and
 * thread-safe.
 *
 * @param value the id; not empty
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
