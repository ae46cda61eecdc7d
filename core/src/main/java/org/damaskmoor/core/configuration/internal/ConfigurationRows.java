package org.damaskmoor.core.configuration.internal;

import org.damaskmoor.core.configuration.ChangeRequest;
import org.damaskmoor.schema.configuration.EarlierChange;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** Makes the row of a change and finds a change in a row. Without state, so thread-safe. */
public final class ConfigurationRows {
    private static final int EARLIER_CHANGES_KEPT = 16;

    private ConfigurationRows() {}

    /** The version that an operation got; 0 when the row does not know the operation. */
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

    /** Whether the row is the one that the operator saw. */
    public static boolean isExpected(VersionedConfiguration row, ChangeRequest request) {
        boolean absent = row.getVersion() == 0 || row.getDeleted();
        if (request.expectedVersion() == 0) {
            return absent && !request.deletion();
        }
        return row.getVersion() == request.expectedVersion() && !(absent && request.deletion());
    }

    /** The row that the change writes over the given one. */
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
