package org.damaskmoor.core.configuration.internal;

import org.damaskmoor.core.configuration.ChangeRequest;
import org.damaskmoor.schema.configuration.EarlierChange;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** Builds the row of a change and finds earlier changes in a row. Stateless and thread-safe. */
public final class ConfigurationRows {
    private static final int EARLIER_CHANGES_KEPT = 16;

    private ConfigurationRows() {}

    /** Returns the version that an operation wrote; 0 if the row does not list the operation. */
    public static long versionOf(VersionedConfiguration row, String operationId) {
        if (row.getVersion() > 0 && row.getOperationId().equals(operationId)) {
            return row.getVersion();
        }
        for (EarlierChange earlier : row.getEarlierChangesList()) {
            if (earlier.getOperationId().equals(operationId)) {
                return earlier.getVersion();
            }
        }
        return 0;
    }

    /** Returns whether the row has the version that the operator expects. */
    public static boolean isExpected(VersionedConfiguration row, ChangeRequest request) {
        boolean absent = row.getVersion() == 0 || row.getDeleted();
        if (request.expectedVersion() == 0) {
            return absent && !request.deletion();
        }
        return row.getVersion() == request.expectedVersion() && !(absent && request.deletion());
    }

    /** Returns the row with which the change replaces the given one. */
    public static VersionedConfiguration nextRow(
            VersionedConfiguration row, ChangeRequest request) {
        VersionedConfiguration.Builder next =
                VersionedConfiguration.newBuilder()
                        .setService(content(request))
                        .setVersion(row.getVersion() + 1)
                        .setOperationId(request.operationId())
                        .setChangedBy(request.operator())
                        .setChangedAtEpochMilliseconds(request.atEpochMilliseconds())
                        .setDeleted(request.deletion());
        if (row.getVersion() > 0) {
            next.addEarlierChanges(
                    EarlierChange.newBuilder()
                            .setOperationId(row.getOperationId())
                            .setVersion(row.getVersion()));
        }
        row.getEarlierChangesList().stream()
                .limit(EARLIER_CHANGES_KEPT - 1)
                .forEach(next::addEarlierChanges);
        return next.build();
    }

    private static ServiceConfiguration content(ChangeRequest request) {
        if (!request.deletion()) {
            return request.service();
        }
        return ServiceConfiguration.newBuilder().setName(request.service().getName()).build();
    }
}
