package org.damaskmoor.core.tenancy;

import java.util.Objects;
import java.util.Optional;

/**
 * What was found out about the tenant of a request. Immutable and thread-safe.
 *
 * @param outcome whether the request may go on
 * @param tenant the tenant; empty if the request is refused or belongs to none
 * @param detail how the API key was found, as it is logged and counted; never the key itself
 */
public record Authentication(Outcome outcome, Optional<Tenant> tenant, Detail detail) {
    /** Whether a request may go on. */
    public enum Outcome {
        /** It may go on, with or without a tenant. */
        ADMITTED,
        /** It has no valid API key. */
        UNAUTHENTICATED,
        /** Its API key can't be checked now, because keys may have been removed meanwhile. */
        UNPROVEN
    }

    /** How the API key of a request was found. */
    public enum Detail {
        NOT_CHECKED("not-checked"),
        KNOWN("known-key"),
        UNKNOWN("unknown-key"),
        MISSING("missing-key"),
        DUPLICATED("duplicated-key"),
        MALFORMED("malformed-key"),
        OTHER_SCHEME("other-scheme"),
        UNPROVEN("no-freshness-proof");

        private final String logName;

        Detail(String logName) {
            this.logName = logName;
        }

        /** Name in log lines and metrics. */
        public String logName() {
            return logName;
        }
    }

    public Authentication {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(tenant, "tenant");
        Objects.requireNonNull(detail, "detail");
    }

    static Authentication admitted(Optional<Tenant> tenant, Detail detail) {
        return new Authentication(Outcome.ADMITTED, tenant, detail);
    }

    static Authentication refused(Outcome outcome, Detail detail) {
        return new Authentication(outcome, Optional.empty(), detail);
    }
}
