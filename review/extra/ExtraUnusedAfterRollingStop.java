import java.util.ArrayList;
import java.util.List;

/**
 * The relays beside all backends of a service are stopped and started in turn. Afterwards the
 * relays of another zone that had called them send requests for that service again.
 */
final class ExtraUnusedAfterRollingStop {
    private static final int REQUESTS = 60;

    private ExtraUnusedAfterRollingStop() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, ExtraUnusedAfterRollingStop::run);
    }

    private static String run(Kit kit) throws Exception {
        kit.store.putConfiguration(
                Kit.configuration(
                        7,
                        "books,shop",
                        Kit.route("read", "/read/", "idempotent", "books", 1500)));
        List<Kit.Relay> entries = new ArrayList<>();
        List<Kit.Relay> targets = new ArrayList<>();
        for (int machine = 1; machine <= 6; machine++) {
            boolean entry = machine <= 3;
            Kit.Relay relay =
                    kit.relay(machine, entry ? "zone-1" : "zone-2", entry ? "shop" : "books");
            (entry ? entries : targets).add(relay);
            relay.start();
            new Backend(kit, kit.ip(machine), relay.service, "i-" + machine)
                    .start()
                    .startBeating();
        }
        for (int machine = 0; machine < 3; machine++) {
            entries.get(machine).awaitReady();
            targets.get(machine).awaitReady();
        }
        Kit.sleep(5000);
        send(kit, entries, "before");
        for (Kit.Relay target : targets) {
            if (kit.trouble) {
                target.terminate();
                target.process.waitFor();
                target.start();
                target.awaitReady();
            }
            Kit.sleep(4000);
        }
        send(kit, entries, "after");
        Kit.sleep(30_000);
        int worst = send(kit, entries, "30 s later");
        return worst < REQUESTS / 4
                ? "a relay serves " + worst + " of " + REQUESTS + " requests 30 s after the last "
                        + "relay is back, though all backends are well"
                : "";
    }

    /** Sends requests to each entry and returns how many the worst one served. */
    private static int send(Kit kit, List<Kit.Relay> entries, String when) throws Exception {
        int worst = REQUESTS;
        for (Kit.Relay entry : entries) {
            int served = 0;
            int refused = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String id = when.charAt(0) + entry.name + "-" + i;
                try (Client client = new Client(kit, entry.ip)) {
                    client.send("GET", "/read/" + id, id, 1400, null);
                    int status = client.status(2000);
                    served += status == 200 ? 1 : 0;
                    refused += status == 503 ? 1 : 0;
                }
            }
            kit.record(when + ": " + entry.name + " serves " + served + " and refuses " + refused
                    + " of " + REQUESTS);
            worst = Math.min(worst, served);
        }
        return worst;
    }
}
