package org.damaskmoor.bench.demo;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.load.RequestKind;
import org.damaskmoor.schema.configuration.ServiceConfiguration;

/**
 * One deployment: its data centres, services and load, read from a file in {@code examples}.
 * Immutable.
 *
 * @param dataCentres maps each data centre to its region, as in a link file
 * @param content the whole file; its link properties are copied to the link file
 */
public record Deployment(
        JsonObject dataCentres,
        List<Service> services,
        List<RequestKind> requests,
        double requestsPerSecond,
        JsonObject content) {

    /** One service and the upstreams that run it. */
    public record Service(
            ServiceConfiguration configuration,
            int upstreams,
            int slots,
            int connections,
            double serviceMilliseconds) {}

    /** Reads a deployment file. */
    public static Deployment read(Path file) throws IOException {
        JsonObject content = JsonObject.parse(Files.readString(file));
        return new Deployment(
                content.object("data_centres"),
                content.list("services", JsonObject.class).stream()
                        .map(Deployment::service)
                        .toList(),
                content.list("requests", JsonObject.class).stream().map(Deployment::kind).toList(),
                content.number("requests_per_second", 100),
                content);
    }

    private static Service service(JsonObject service) {
        return new Service(
                configuration(service.object("configuration")),
                (int) service.number("upstreams", 1),
                (int) service.number("slots", 10),
                (int) service.number("connections", 250),
                service.number("service_milliseconds", 10));
    }

    private static ServiceConfiguration configuration(JsonObject configuration) {
        ServiceConfiguration.Builder builder = ServiceConfiguration.newBuilder();
        try {
            JsonFormat.parser().merge(configuration.toString(), builder);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(
                    "not a valid service configuration: " + configuration, e);
        }
        return builder.build();
    }

    private static RequestKind kind(JsonObject kind) {
        return new RequestKind(
                kind.number("share", 1),
                kind.text("path_prefix", "/"),
                kind.flag("booking"),
                kind.list("callers", String.class));
    }
}
