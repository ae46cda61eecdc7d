package org.damaskmoor.bench.experiment;

import java.io.IOException;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.Reply;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/**
 * Writes the first version of a configuration directly to the table service, without a node.
 *
 * <p>Thread-safe.
 */
final class TableServiceApplier {
    private final BlockingClient client;
    private final String tableServiceUrl;

    TableServiceApplier(BlockingClient client, String tableServiceUrl) {
        this.client = client;
        this.tableServiceUrl = tableServiceUrl;
    }

    /** Writes the configuration as version 1, which nodes then load. */
    void apply(ServiceConfiguration service) throws IOException {
        VersionedConfiguration configuration =
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
                        configuration.toByteString());
        if (reply.status() != 201) {
            throw new IOException(
                    "service "
                            + service.getName()
                            + " not written to the table service: status "
                            + reply.status());
        }
    }
}
