import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A relay gets SIGTERM while clients receive long answers at the pace of their links. */
final class ExtraStopCutsAnswers {
    private static final int DEADLINE = 12_000;
    private static final int CLIENTS = 4;

    /** The pace of a client: that of the slowest link of the pages, 7 Mbit/s. */
    private static final int BYTES_PER_SECOND = 7_000_000 / 8;

    private static final int ANSWER_BYTES = 8_000_000;

    private ExtraStopCutsAnswers() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, ExtraStopCutsAnswers::run);
    }

    private static String run(Kit kit) throws Exception {
        kit.store.putConfiguration(
                Kit.configuration(
                        7,
                        "books",
                        Kit.route("export", "/export/", "idempotent", "books", DEADLINE)));
        List<Kit.Relay> relays = new ArrayList<>();
        String body = "x".repeat(ANSWER_BYTES);
        for (int machine = 1; machine <= 2; machine++) {
            Kit.Relay relay = kit.relay(machine, "zone-" + machine, "books");
            relays.add(relay);
            relay.start();
            Backend backend = new Backend(kit, kit.ip(machine), "books", "i-" + machine);
            backend.behaviour =
                    (server, connection, request) -> {
                        if (request.word(1).equals("/healthz")) {
                            return server.serve(connection, request);
                        }
                        kit.ran(server, request);
                        Kit.sleep(100);
                        server.send(connection, server.answer(request, "", body));
                        return true;
                    };
            backend.start().startBeating();
        }
        for (Kit.Relay relay : relays) {
            relay.awaitReady();
        }
        Kit.sleep(4500);
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Kit.thread(() -> client(kit, number, complete, cut)));
        }
        Kit.sleep(500);
        if (kit.trouble) {
            relays.get(0).terminate();
        }
        for (Thread client : clients) {
            client.join();
        }
        kit.record("complete " + complete + ", cut " + cut);
        if (complete.get() + cut.get() < CLIENTS) {
            throw new Kit.CannotRun("not all requests were served");
        }
        return cut.get() > 0 ? cut + " answers of requests that were passed on were cut" : "";
    }

    private static void client(Kit kit, int number, AtomicInteger complete, AtomicInteger cut)
            throws IOException {
        String id = "r" + number;
        try (Client client = new Client(kit, kit.ip(1), 64 * 1024)) {
            long start = System.nanoTime();
            client.send("GET", "/export/" + id, id, DEADLINE, null);
            client.socket.setSoTimeout(DEADLINE);
            Http.Message head = Http.head(client.in);
            int length = Integer.parseInt(head.header("content-length"));
            kit.record("client: " + id + " gets status " + head.status() + ", " + length + " bytes");
            if (head.status() != 200) {
                return;
            }
            byte[] buffer = new byte[BYTES_PER_SECOND / 50];
            int received = 0;
            while (received < length) {
                int read;
                try {
                    read = client.in.readNBytes(buffer, 0, Math.min(buffer.length, length - received));
                } catch (IOException reset) {
                    read = -1;
                }
                if (read <= 0) {
                    cut.incrementAndGet();
                    kit.record("client: " + id + " was cut after " + received + " of " + length
                            + " bytes, " + (System.nanoTime() - start) / 1_000_000 + " ms after it was sent");
                    return;
                }
                received += read;
                Kit.sleep(20);
            }
            complete.incrementAndGet();
            kit.record("client: " + id + " is complete after "
                    + (System.nanoTime() - start) / 1_000_000 + " ms");
        }
    }
}
