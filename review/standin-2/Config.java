/** Configurations of the operator. */
final class Config {
    private Config() {}

    static String route(String name, String prefix, String kind, String service, String timeout) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout\":\"" + timeout + "\",\"targetLatency\":\"800ms\",\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":2}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConnections\":260,\"protocol\":\"h1\",\"tls\":false}";
    }

    /** A configuration with tenants, each a JSON object. */
    static String withTenants(String configuration, String tenants) {
        return "{\"tenants\":[" + tenants + "]," + configuration.substring(1);
    }

    /** The limits are those that `fleetbench wire` shows for the sites. */
    static String of(int version, String routes, String services) {
        return "{\"version\":\"" + String.format("%08x", version) + "\",\"routes\":[" + routes + "],\"services\":["
                + services + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
    }
}
