package org.damaskmoor.core.configuration;

import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.configuration.ServiceConfiguration;

/**
 * A configuration change requested by an operator. Immutable and thread-safe.
 *
 * @param service the whole new configuration; for a deletion only its name is used
 * @param deletion whether the service is to be deleted
 * @param expectedVersion version that the operator saw; 0: the service must not exist yet
 * @param operationId chosen by the operator; the same id identifies the same change
 * @param operator who requests the change
 * @param atEpochMilliseconds when the node received the request
 */
public record ChangeRequest(
        ServiceConfiguration service,
        boolean deletion,
        long expectedVersion,
        String operationId,
        String operator,
        long atEpochMilliseconds) {
    /** Returns the name of the service to change. */
    public ServiceName name() {
        return new ServiceName(service.getName());
    }
}
