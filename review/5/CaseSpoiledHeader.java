import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A faulty backend spoils a byte in a header of some of its answers. */
final class CaseSpoiledHeader {
    private static final int TIMEOUT = 1500;
    private static final int SLACK = 500;
    private static final int DEADLINE = 4000;
    private static final int CLIENTS = 24;
    private static final int SECONDS = 8;

    /** When, in milliseconds after the first request, answers are spoiled: for 5 s. */
    private static final long SPOIL_FROM = 1000;

    private static final long SPOIL_UNTIL = 6000;

    private static volatile long startedAt;

    private CaseSpoiledHeader() {}

    private static long sinceStart() {
        return startedAt == 0 ? 0 : (System.nanoTime() - startedAt) / 1_000_000;
    }

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, CaseSpoiledHeader::run);
    }

    private static String run(Kit kit) throws Exception {
        // One byte of a header is spoiled: a control character, which no header may contain.
        String variant = "X-Trace: 7f\u0001a5\r\n";
        kit.store.putConfiguration(
                Kit.configuration(
                        7, "books", Kit.route("read", "/read/", "idempotent", "books", TIMEOUT)));
        List<Kit.Relay> relays = new ArrayList<>();
        AtomicInteger spoiled = new AtomicInteger();
        AtomicInteger count = new AtomicInteger();
        for (int machine = 1; machine <= 2; machine++) {
            Kit.Relay relay = kit.relay(machine, "zone-" + machine, "books");
            relays.add(relay);
            relay.start();
            Backend backend = new Backend(kit, kit.ip(machine), "books", "i-" + machine);
            boolean faulty = machine == 1;
            backend.behaviour =
                    (server, connection, request) -> {
                        if (request.word(1).equals("/healthz")) {
                            return server.serve(connection, request);
                        }
                        kit.ran(server, request);
                        Kit.sleep(10);
                        boolean spoil =
                                kit.trouble
                                        && faulty
                                        && sinceStart() >= SPOIL_FROM
                                        && sinceStart() < SPOIL_UNTIL
                                        && count.incrementAndGet() % 50 == 0;
                        if (spoil) {
                            spoiled.incrementAndGet();
                            kit.record("answer to " + request.header("request-id") + " is spoiled");
                        }
                        server.send(
                                connection,
                                server.answer(
                                        request,
                                        spoil ? variant : "",
                                        "ok " + request.header("request-id")));
                        return true;
                    };
            backend.start().startBeating();
        }
        for (Kit.Relay relay : relays) {
            relay.awaitReady();
        }
        Kit.sleep(4000);
        startedAt = System.nanoTime();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger atTimeout = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(
                    Kit.thread(
                            () -> client(kit, number, served, atTimeout, unanswered)));
        }
        for (Thread client : clients) {
            client.join();
        }
        kit.record(
                "spoiled " + spoiled + ", served " + served + ", unanswered at the timeout "
                        + atTimeout + ", still unanswered " + SLACK + " ms later " + unanswered);
        if (served.get() < 500) {
            throw new Kit.CannotRun("few requests were served: " + served);
        }
        boolean broken = unanswered.get() >= 8 && 2 * unanswered.get() > atTimeout.get();
        return broken
                ? unanswered + " of " + atTimeout + " requests unanswered at the route's timeout "
                        + "have no answer " + SLACK + " ms later"
                : "";
    }

    private static void client(
            Kit kit, int number, AtomicInteger served, AtomicInteger atTimeout,
            AtomicInteger unanswered)
            throws Exception {
        Client client = new Client(kit, kit.ip(1 + number % 2));
        for (int i = 0; sinceStart() < SECONDS * 1000L; i++) {
            String id = "r" + number + "-" + i;
            client.send("GET", "/read/" + id, id, DEADLINE, null);
            int status = client.status(TIMEOUT);
            if (status == 0) {
                atTimeout.incrementAndGet();
                status = client.status(SLACK);
                if (status == 0) {
                    unanswered.incrementAndGet();
                    kit.record("client: " + id + " has no answer " + (TIMEOUT + SLACK) + " ms after it was sent");
                    status = client.status(DEADLINE - TIMEOUT - SLACK);
                    kit.record("client: " + id + " at its deadline: " + status);
                }
            }
            if (status == 200) {
                served.incrementAndGet();
            } else {
                kit.record("client: " + id + " ended with " + status);
                client.close();
                client = new Client(kit, kit.ip(1 + number % 2));
            }
            Kit.sleep(20);
        }
        client.close();
    }
}
