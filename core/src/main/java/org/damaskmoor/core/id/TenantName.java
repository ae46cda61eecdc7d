package org.damaskmoor.core.id;

import java.util.Objects;

/**
 * Name of a tenant, a customer whose callers share API keys and a quota.
 *
 * <p>Invariant: {@code value} is not empty. Immutable and thread-safe.
 *
 * @param value the name as operators write it
 */
public record TenantName(String value) {
    public TenantName {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("A tenant name must not be empty.");
        }
    }

    @Override
    public String toString() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TenantName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
