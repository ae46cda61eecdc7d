package org.damaskmoor.core.lease;

import java.util.Objects;
import java.util.Optional;
import org.damaskmoor.schema.accounting.LeaseRecord;

/** A step that a {@link Lease} asks its driver to perform. Immutable and thread-safe. */
public sealed interface LeaseStep {
    /** Nothing is due. */
    record Wait() implements LeaseStep {}

    /**
     * Read the row; report the result with {@link Lease#onRead} or {@link Lease#onOutcomeUnknown}.
     */
    record Read() implements LeaseStep {}

    /**
     * Write the row; report the result with {@link Lease#onWritten}, {@link
     * Lease#onConditionFailed} or {@link Lease#onOutcomeUnknown}.
     *
     * @param tag tag that the row must have; empty: the row must not exist yet
     * @param lease the new content
     */
    record Write(Optional<String> tag, LeaseRecord lease) implements LeaseStep {
        public Write {
            Objects.requireNonNull(tag, "tag");
            Objects.requireNonNull(lease, "lease");
        }
    }
}
