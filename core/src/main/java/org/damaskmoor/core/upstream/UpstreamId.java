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

    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
