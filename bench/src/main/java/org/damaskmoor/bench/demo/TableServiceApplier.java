package org.damaskmoor.bench.demo;

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
public final class TableServiceApplier implements ServiceApplier {
    private final BlockingClient client;
    private final String tableServiceUrl;

    public TableServiceApplier(BlockingClient client, String tableServiceUrl) {
        this.client = client;
        this.tableServiceUrl = tableServiceUrl;
    }

    @Override
    public void apply(ServiceConfiguration service) throws IOException {
        VersionedConfiguration first =
                VersionedConfiguration.newBuilder()
                        .setService(service)
                        .setVersion(1)
                        .setOperationId("demo-" + service.getName())
                        .setChangedBy("demo")
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
