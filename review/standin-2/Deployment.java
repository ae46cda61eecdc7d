import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A small deployment in one zone: the store, and relays with one backend each, as many as services
 * are named. Everything ends with this process.
 */
final class Deployment implements AutoCloseable {
    static final String ROUTES =
            Config.route("read", "/read/", "idempotent", "books", "4000ms") + ","
                    + Config.route("order", "/order/", "non_idempotent", "books", "4000ms");

    final Path folder;
    final Store store = new Store();
    final List<Relay> relays = new ArrayList<>();
    final List<Backend> backends = new ArrayList<>();

    /** A deployment whose configuration has the routes alone. */
    Deployment(Recorder record, String routes, List<String> services, Backend.Handler handler,
            Map<String, String> moreSettings) throws Exception {
        this(record, services, handler, moreSettings, Config.of(7, routes, definitions(services)));
    }

    Deployment(Recorder record, List<String> services, Backend.Handler handler,
            Map<String, String> moreSettings, String configuration) throws Exception {
        Path root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("review-2-");
        store.put("op", "config", configuration);
        for (int i = 0; i < services.size(); i++) {
            Backend backend = new Backend("i-" + i, services.get(i), record, handler);
            Relay relay = new Relay(root, folder, "relay-" + i, services.get(i), "zone-1", "region-1",
                    backend.port, store.address(), moreSettings);
            backends.add(backend);
            relays.add(relay);
            relay.start();
            backend.beat(relay.control);
        }
    }

    /** The definitions of the named services in a configuration. */
    static String definitions(List<String> services) {
        return String.join(",", services.stream().distinct().map(Config::service).toList());
    }

    /** Waits until all relays are ready and have settled; false if one does not become ready. */
    boolean awaitReady() throws InterruptedException {
        for (Relay relay : relays) {
            if (!relay.awaitReady(30_000)) {
                return false;
            }
        }
        Thread.sleep(5000);
        return true;
    }

    @Override
    public void close() throws Exception {
        for (Relay relay : relays) {
            relay.kill();
        }
        for (Relay relay : relays) {
            relay.awaitExit(5000);
        }
        for (Backend backend : backends) {
            backend.close();
        }
        store.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
