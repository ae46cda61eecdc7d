package org.damaskmoor.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/**
 * The platform's table of services, one row for each. Every call may fail with a {@link
 * ServiceTableException} after the implementation's own timeout. Thread-safe.
 */
public interface ServiceTable {
    /** Reads one row; empty if there is none. */
    CompletableFuture<Optional<Row>> read(ServiceName service);

    /** Reads all rows. */
    CompletableFuture<List<Row>> readAll();

    /**
     * Writes a row if it is unchanged.
     *
     * @param expectedTag tag of the row as it was read; empty: there must be no row
     * @return whether it was written; false means that the condition did not hold
     */
    CompletableFuture<Boolean> compareAndSet(
            ServiceName service,
            Optional<String> expectedTag,
            VersionedConfiguration configuration);

    /**
     * A row and the tag that a conditional write refers to.
     *
     * @param configuration the content
     * @param tag changes with each write
     */
    record Row(VersionedConfiguration configuration, String tag) {}
}
