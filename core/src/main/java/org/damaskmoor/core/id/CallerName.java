package org.damaskmoor.core.id;

import java.util.Objects;

/**
 * Name of a caller.
 *
 * <p>Invariant: {@code value} is not empty. Immutable and thread-safe.
 *
 * @param value the name as operators write it
 */
public record CallerName(String value) {
    public CallerName {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("A caller name must not be empty.");
        }
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CallerName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
