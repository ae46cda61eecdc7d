import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A few clients send bodies that the limits of the configuration allow, beside usual traffic. */
final class ExtraManyBodies {
    private static final int TIMEOUT = 2000;
    private static final int SLACK = 500;
    private static final int DEADLINE = 4000;
    private static final int UPLOADS = 200;
    private static final int BODY_BYTES = 700 * 1024;
    private static final int SECONDS = 20;

    private ExtraManyBodies() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, ExtraManyBodies::run);
    }

    private static String run(Kit kit) throws Exception {
        kit.store.putConfiguration(
                Kit.configuration(
                        7,
                        "books",
                        Kit.route("read", "/read/", "idempotent", "books", TIMEOUT),
                        Kit.route("import", "/import/", "idempotent", "books", 10000)));
        List<Kit.Relay> relays = new ArrayList<>();
        for (int machine = 1; machine <= 2; machine++) {
            Kit.Relay relay = kit.relay(machine, "zone-" + machine, "books");
            relays.add(relay);
            relay.start();
            Backend backend = new Backend(kit, kit.ip(machine), "books", "i-" + machine);
            backend.behaviour =
                    (server, connection, request) -> {
                        if (!request.word(1).equals("/healthz")) {
                            Kit.sleep(50);
                        }
                        return server.serve(connection, request);
                    };
            backend.start().startBeating();
        }
        for (Kit.Relay relay : relays) {
            relay.awaitReady();
        }
        Kit.sleep(4500);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger atTimeout = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        long end = System.nanoTime() + SECONDS * 1_000_000_000L;
        for (int i = 0; i < 16; i++) {
            int number = i;
            clients.add(Kit.thread(() -> client(kit, number, end, served, atTimeout, unanswered, lost)));
        }
        Kit.sleep(5000);
        List<Thread> uploads = new ArrayList<>();
        for (int i = 0; i < UPLOADS; i++) {
            int number = i;
            uploads.add(Kit.thread(() -> upload(kit, number)));
        }
        for (Thread client : clients) {
            client.join();
        }
        for (Kit.Relay relay : relays) {
            kit.record("relay " + relay.name + " alive " + relay.process.isAlive() + " ready " + relay.isReady());
        }
        kit.record("served " + served + ", at timeout " + atTimeout + ", unanswered " + unanswered + ", lost " + lost);
        return lost.get() > 3 || unanswered.get() >= 8 ? "lost " + lost + " unanswered " + unanswered : "";
    }

    private static void upload(Kit kit, int number) throws Exception {
        String id = "upload-" + number;
        byte[] body = new byte[kit.trouble ? BODY_BYTES : 7200];
        try (Client client = new Client(kit, kit.ip(1))) {
            int pieces = 40;
            byte[] piece = new byte[body.length / pieces];
            client.socket
                    .getOutputStream()
                    .write(
                            ("POST /import/" + id + " HTTP/1.1\r\nHost: " + Kit.HOST
                                            + "\r\nRequest-Id: " + id
                                            + "\r\nDeadline-Ms: 15000\r\nContent-Length: "
                                            + piece.length * pieces + "\r\n\r\n")
                                    .getBytes());
            for (int i = 0; i < pieces; i++) {
                client.socket.getOutputStream().write(piece);
                Kit.sleep(200);
            }
            kit.record("client: " + id + " was sent");
            kit.record("client: " + id + " ended with " + client.status(15000));
        } catch (IOException failure) {
            kit.record("client: " + id + " failed: " + failure);
        }
    }

    private static void client(
            Kit kit, int number, long end, AtomicInteger served, AtomicInteger atTimeout,
            AtomicInteger unanswered, AtomicInteger lost)
            throws Exception {
        Client client = new Client(kit, kit.ip(1));
        for (int i = 0; System.nanoTime() < end; i++) {
            String id = "r" + number + "-" + i;
            try {
                client.send("GET", "/read/" + id, id, DEADLINE, null);
                int status;
                try {
                    status = client.receive(TIMEOUT).status();
                } catch (SocketTimeoutException late) {
                    atTimeout.incrementAndGet();
                    status = client.receive(SLACK).status();
                }
                if (status == 200) {
                    served.incrementAndGet();
                } else {
                    kit.record("client: " + id + " ended with " + status);
                }
            } catch (SocketTimeoutException late) {
                unanswered.incrementAndGet();
                kit.record("client: " + id + " has no answer");
                client.close();
                client = new Client(kit, kit.ip(1));
            } catch (IOException closed) {
                kit.record("client: " + id + " closed: " + closed + " run " + kit.runs.containsKey(id));
                if (kit.runs.containsKey(id)) {
                    lost.incrementAndGet();
                }
                client.close();
                client = new Client(kit, kit.ip(1));
            }
            Kit.sleep(50);
        }
        client.close();
    }
}
