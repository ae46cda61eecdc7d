package org.damaskmoor.core.lease;

import java.util.Objects;
import org.damaskmoor.schema.accounting.LeaseRecord;

/**
 * State of a lease's row in the table service. Immutable and thread-safe.
 *
 * @param tag entity tag of this state
 * @param lease content of the row
 */
public record LeaseRow(String tag, LeaseRecord lease) {
    public LeaseRow {
        Objects.requireNonNull(tag, "tag");
        Objects.requireNonNull(lease, "lease");
    }
}
