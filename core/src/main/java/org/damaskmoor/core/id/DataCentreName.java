package org.damaskmoor.core.id;

import java.util.Objects;

/**
 * Name of a data centre.
 *
 * <p>Invariant: {@code value} is not empty. Immutable and thread-safe.
 *
 * @param value the name as operators write it
 */
public record DataCentreName(String value) {
    public DataCentreName {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("A data centre name must not be empty.");
        }
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof DataCentreName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
