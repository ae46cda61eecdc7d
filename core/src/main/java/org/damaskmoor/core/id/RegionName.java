package org.damaskmoor.core.id;

import java.util.Objects;

/**
 * Name of a region.
 *
 * <p>Invariant: {@code value} is not empty. Immutable and thread-safe.
 *
 * @param value the name as operators write it
 */
public record RegionName(String value) {
    public RegionName {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("A region name must not be empty.");
        }
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RegionName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
