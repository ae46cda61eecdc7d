import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The operator takes away the keys of the only tenant by removing it from the configuration. */
public final class Review10 {
    private static final String KEY = "k-4f1d22a90b7c";
    private static final long REVOKE_MILLISECONDS = 5000;
    private static final List<String> SERVICES = List.of("books", "books", "books");

    /** What the backends ran: the value of Authorization by id. */
    private static final Map<String, String> ran = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        Map<String, String> settings =
                Map.of("bounds.revoke", REVOKE_MILLISECONDS + "ms", "bounds.revokeFailClosed", "true");
        try (Recorder record = new Recorder(Path.of("review/10/record.txt"));
                Deployment site = new Deployment(record, SERVICES, Review10::run, settings, configuration(7, true))) {
            if (site.awaitReady()) {
                exit = play(record, site, trouble);
            } else {
                record.line("a relay did not become ready");
            }
        }
        // A failure of the test itself ends the JVM with 1, so that a broken rule needs another code.
        System.exit(exit == 1 ? 10 : exit);
    }

    private static String configuration(int version, boolean withTenant) {
        return Config.withTenants(Config.of(version, Deployment.ROUTES, Deployment.definitions(SERVICES)),
                withTenant ? "{\"name\":\"press\",\"apiKeys\":[\"" + KEY + "\"]}" : "");
    }

    private static boolean run(Backend backend, Wire.Message request, OutputStream out, Socket socket)
            throws Exception {
        ran.put(request.header("request-id"), request.header("authorization"));
        backend.record.line("backend %s runs %s %s, Tenant: %s, Authorization: %s", backend.id, request.path(),
                request.header("request-id"), request.header("tenant"), request.header("authorization"));
        Thread.sleep(30);
        return backend.answer(request, out, 200, "done".getBytes(StandardCharsets.US_ASCII));
    }

    private static int play(Recorder record, Deployment site, boolean trouble) throws Exception {
        int servedBefore = 0;
        for (int i = 0; i < 30; i++) {
            servedBefore += send(site.relays.get(i % 3).outbound, KEY, record).status() == 200 ? 1 : 0;
        }
        int unkeyedBefore = send(site.relays.get(0).outbound, "", record).status();
        record.line("with the key: %d of 30 served; without a key: %d", servedBefore, unkeyedBefore);
        if (trouble) {
            site.store.put("op", "config", configuration(9, false));
            record.line("version 9 is acknowledged: the tenant and its key are gone");
        }
        Thread.sleep(REVOKE_MILLISECONDS + 2000);
        int revokedRuns = 0;
        int keysPassedOn = 0;
        for (int i = 0; i < 30; i++) {
            String id = Client.newId();
            Wire.Message answer = send(site.relays.get(i % 3).outbound, KEY, id, record);
            if (trouble && ran.containsKey(id)) {
                revokedRuns++;
                record.line("CONFIG: %s ran 2 s later than `revoke` after its key was taken away, answered %d",
                        id, answer.status());
            }
            if (!ran.getOrDefault(id, "").isEmpty()) {
                keysPassedOn++;
                record.line("UNASKED: the key of %s was passed on to a backend", id);
            }
        }
        int unknownRuns = 0;
        for (int i = 0; i < 10; i++) {
            String id = Client.newId();
            send(site.relays.get(i % 3).outbound, "never-given-out", id, record);
            if (ran.containsKey(id)) {
                unknownRuns++;
                record.line("ROUTE: %s ran with a key that no configuration ever held", id);
            }
        }
        String verdict = String.format("served before: %d of 30; requests with the revoked key that ran: %d of 30;"
                + " with a key that was never held: %d of 10; keys passed on: %d",
                servedBefore, revokedRuns, unknownRuns, keysPassedOn);
        record.line("%s", verdict);
        System.out.println(verdict);
        if (servedBefore < 25 || unkeyedBefore != 401) {
            return 2;
        }
        return revokedRuns + unknownRuns + keysPassedOn > 0 ? 1 : 0;
    }

    private static Wire.Message send(int port, String key, Recorder record) throws Exception {
        return send(port, key, Client.newId(), record);
    }

    private static Wire.Message send(int port, String key, String id, Recorder record) throws Exception {
        try (Client client = new Client(port)) {
            client.moreHeaders = key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n";
            client.send("POST", "/order/1", id, 1200, "booking".getBytes(StandardCharsets.US_ASCII));
            Wire.Message answer = client.read(5000);
            record.line("client sent /order/1 %s with %s key, gets %s", id, key.isEmpty() ? "no" : "the",
                    answer.first());
            return answer;
        }
    }
}
