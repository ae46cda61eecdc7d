package org.damaskmoor.core.tenancy;

import java.util.Objects;

/**
 * A secret with which callers show which tenant they belong to.
 *
 * <p>Invariants: the value is not empty; the text representation does not contain it, so that it
 * can't reach a log by mistake. Immutable and thread-safe.
 */
public final class ApiKey {
    private final String value;

    public ApiKey(String value) {
        this.value = Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("An API key must not be empty.");
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return "ApiKey[redacted]";
    }
}
