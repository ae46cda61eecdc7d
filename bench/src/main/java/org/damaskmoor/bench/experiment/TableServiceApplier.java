package org.damaskmoor.bench.experiment;

import java.io.IOException;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.Reply;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/**
 * Writes the first version of a configuration straight into the table service, past all operators.
 *
 * <p>Thread safe.
 */
final class TableServiceApplier {
    private final BlockingClient client;
    private final String tableServiceUrl;

    TableServiceApplier(BlockingClient client, String tableServiceUrl) {
        this.client = client;
        this.tableServiceUrl = tableServiceUrl;
    }

    /** Puts the service in force. */
    void apply(ServiceConfiguration service) throws IOException {
        VersionedConfiguration first =
                VersionedConfiguration.newBuilder()
                        .setService(service)
                        .setVersion(1)
                        .setOperationId("experiment-" + service.getName())
                        .setChangedBy("experiment")
                        .setChangedAtEpochMilliseconds(System.currentTimeMillis())
                        .build();
        Reply reply =
                client.create(
                        tableServiceUrl + "/tables/services/rows/" + service.getName(),
                        first.toByteString());
        if (reply.status() != 201) {
            throw new IOException(
                    "service " + service.getName() + " not written: status " + reply.status());
        }
    }
}
