package org.damaskmoor.core.configuration;

import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.configuration.ServiceConfiguration;

/**
 * What an operator asks for. Immutable and thread-safe.
 *
 * @param service the whole new configuration; for a deletion only its name counts
 * @param deletion whether the service is to be deleted
 * @param expectedVersion version that the operator saw; 0: the service must not exist yet
 * @param operationId chosen by the operator; the same id again is the same change
 * @param operator who asks
 * @param atEpochMilliseconds when the node took the request
 */
public record ChangeRequest(
        ServiceConfiguration service,
        boolean deletion,
        long expectedVersion,
        String operationId,
        String operator,
        long atEpochMilliseconds) {
    /** The service that is to be changed. */
    public ServiceName name() {
        return new ServiceName(service.getName());
    }
}
