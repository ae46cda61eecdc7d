import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The time of day of a machine jumps ahead and back again; the backend there starts before the jump
 * back and, after a crash, again after it, under the same id. Later it says that it is draining.
 */
final class CaseClockBackDrain {
    private static final long DRAIN = 2500;
    private static final long JUMP = 2000;

    private CaseClockBackDrain() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, CaseClockBackDrain::run);
    }

    private static String run(Kit kit) throws Exception {
        kit.store.putConfiguration(
                Kit.configuration(
                        7, "books", Kit.route("read", "/read/", "idempotent", "books", 2000)));
        List<Kit.Relay> relays = new ArrayList<>();
        List<Backend> backends = new ArrayList<>();
        long[] ackedAt = new long[1];
        AtomicInteger late = new AtomicInteger();
        for (int machine = 1; machine <= 2; machine++) {
            Kit.Relay relay = kit.relay(machine, "zone-" + machine, "books");
            relays.add(relay);
            relay.start();
            Backend backend = new Backend(kit, kit.ip(machine), "books", "i-" + machine);
            backends.add(backend);
            boolean leaves = machine == 1;
            backend.behaviour =
                    (server, connection, request) -> {
                        long acked = ackedAt[0];
                        long since = (System.nanoTime() - acked) / 1_000_000;
                        boolean check = request.word(1).equals("/healthz");
                        if (leaves && acked != 0 && since > DRAIN && !check) {
                            late.incrementAndGet();
                            kit.record(request.header("request-id") + " reaches " + server.id + " "
                                    + since + " ms after the ack of draining");
                        }
                        return server.serve(connection, request);
                    };
            if (!leaves) {
                backend.start().startBeating();
            }
        }
        for (Kit.Relay relay : relays) {
            relay.awaitReady();
        }
        Kit.sleep(4000);
        Backend backend = backends.get(0);
        if (kit.trouble) {
            kit.record("the clock of machine 1 jumps " + JUMP + " ms ahead");
        }
        backend.born = System.currentTimeMillis() + (kit.trouble ? JUMP : 0);
        backend.start();
        kit.record("backend i-1 starts, born " + backend.born + ", ack " + backend.beat());
        AtomicInteger[] statuses = new AtomicInteger[600];
        for (int i = 0; i < statuses.length; i++) {
            statuses[i] = new AtomicInteger();
        }
        boolean[] stop = new boolean[1];
        List<Thread> clients = new ArrayList<>();
        for (int machine = 1; machine <= 2; machine++) {
            String ip = kit.ip(machine);
            String prefix = "m" + machine + "-";
            clients.add(Kit.thread(() -> client(kit, ip, prefix, statuses, stop)));
        }
        Kit.sleep(1000);
        backend.crash();
        kit.record("backend i-1 crashes");
        Kit.sleep(400);
        if (kit.trouble) {
            kit.record("the clock of machine 1 jumps back");
        }
        backend.born = System.currentTimeMillis();
        backend.sequence = 0;
        backend.start();
        kit.record("backend i-1 starts again, born " + backend.born + ", ack " + backend.beat());
        for (int i = 0; i < 6; i++) {
            Kit.sleep(1500);
            backend.beat();
        }
        int before = kit.runs.size();
        backend.state = "draining";
        int status = backend.beat();
        if (status / 100 == 2) {
            ackedAt[0] = System.nanoTime();
        }
        kit.record("backend i-1 says draining, answer " + status + "; it serves 8 s longer");
        for (int i = 0; i < 5; i++) {
            Kit.sleep(1500);
            backend.beat();
        }
        Kit.sleep(500);
        stop[0] = true;
        for (Thread client : clients) {
            client.join();
        }
        kit.record("answers 200: " + statuses[200] + ", 503: " + statuses[503] + ", run before draining: " + before);
        if (statuses[200].get() < 100 || ackedAt[0] == 0) {
            throw new Kit.CannotRun("few requests were served, or draining got no ack");
        }
        return late.get() > 0
                ? late + " requests reached the backend later than drain after the ack"
                : "";
    }

    private static void client(
            Kit kit, String ip, String prefix, AtomicInteger[] statuses, boolean[] stop)
            throws Exception {
        Client client = new Client(kit, ip);
        for (int i = 0; !stop[0]; i++) {
            String id = prefix + i;
            client.send("GET", "/read/" + id, id, 2000, null);
            int status = client.status(3000);
            if (status > 0) {
                statuses[status].incrementAndGet();
            }
            if (status != 200) {
                kit.record("client: " + id + " ended with " + status);
                client.close();
                client = new Client(kit, ip);
            }
            Kit.sleep(50);
        }
        client.close();
    }
}
