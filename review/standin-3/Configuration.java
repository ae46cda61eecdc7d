package standin3;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The operator's configuration. Confined to one thread. */
public final class Configuration {
    private final String version;
    private final List<String> routes = new ArrayList<>();
    private final Set<String> services = new LinkedHashSet<>();

    public Configuration(String version) {
        this.version = version;
    }

    public Configuration route(
            String prefix, String kind, String service, String timeout, String objective) {
        services.add(service);
        routes.add(
                "{\"name\":\"r"
                        + routes.size()
                        + "\",\"host\":\"shop.example\",\"prefix\":\""
                        + prefix
                        + "\",\"kind\":\""
                        + kind
                        + "\",\"timeout\":\""
                        + timeout
                        + "\",\"targetLatency\":\""
                        + objective
                        + "\",\"priority\":1,\"service\":\""
                        + service
                        + "\",\"maxAttempts\":2}");
        return this;
    }

    /** The text of the row op/config, with the limits of the example on the pages. */
    public String text() {
        List<String> defined =
                services.stream()
                        .map(
                                service ->
                                        "{\"name\":\""
                                                + service
                                                + "\",\"healthPath\":\"/healthz\","
                                                + "\"maxConnections\":260}")
                        .toList();
        return "{\"version\":\""
                + version
                + "\",\"routes\":["
                + String.join(",", routes)
                + "],\"services\":["
                + String.join(",", defined)
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
    }
}
