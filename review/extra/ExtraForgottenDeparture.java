import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A relay is killed; after its restart the backend beside it deregisters before any heartbeat of
 * it; the relay is killed again; a heartbeat that the backend sent before arrives late.
 */
final class ExtraForgottenDeparture {
    private static final long DRAIN = 2500;

    private ExtraForgottenDeparture() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, ExtraForgottenDeparture::run);
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
                        long since = (System.nanoTime() - ackedAt[0]) / 1_000_000;
                        boolean check = request.word(1).equals("/healthz");
                        if (leaves && ackedAt[0] != 0 && since > DRAIN && !check) {
                            late.incrementAndGet();
                            kit.record(request.header("request-id") + " reaches " + server.id + " "
                                    + since + " ms after the ack of its deregistration");
                        }
                        return server.serve(connection, request);
                    };
            backend.start().startBeating();
        }
        for (Kit.Relay relay : relays) {
            relay.awaitReady();
        }
        Kit.sleep(5000);
        Backend backend = backends.get(0);
        Kit.Relay relay = relays.get(0);
        backend.beating = false;
        Kit.sleep(200);
        long lateSequence = ++backend.sequence;
        kit.record("backend i-1 sends heartbeat " + lateSequence + ", which is delayed");
        kill(kit, relay);
        int status = 0;
        while (status != 200) {
            try {
                status = backend.deregister();
            } catch (java.io.IOException notUp) {
                Kit.sleep(50);
            }
        }
        ackedAt[0] = System.nanoTime();
        kit.record("backend i-1 deregisters, answer " + status + "; it serves on");
        if (kit.trouble) {
            Kit.sleep(500);
            kill(kit, relay);
        }
        relay.awaitReady();
        Kit.sleep(4500);
        kit.record("the delayed heartbeat arrives, answer "
                + backend.beat(backend.id, backend.born, lateSequence, "ready"));
        int served = 0;
        for (int i = 0; i < 60; i++) {
            String id = "r" + i;
            try (Client client = new Client(kit, kit.ip(1 + i % 2))) {
                client.send("GET", "/read/" + id, id, 2000, null);
                if (client.status(3000) == 200) {
                    served++;
                }
            }
            Kit.sleep(50);
        }
        kit.record("served " + served);
        if (served < 30) {
            throw new Kit.CannotRun("few requests were served");
        }
        return late.get() > 0
                ? late + " requests reached the backend later than drain after the ack"
                : "";
    }

    private static void kill(Kit kit, Kit.Relay relay) throws Exception {
        kit.record("relay " + relay.name + " is killed");
        relay.process.destroyForcibly().waitFor();
        relay.start();
    }
}
