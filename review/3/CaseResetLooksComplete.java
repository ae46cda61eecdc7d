import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.Map;

/** A backend answers before it has read a long body, without a length, and resets the connection. */
final class CaseResetLooksComplete {
    private static final int DEADLINE = 8000;
    private static final int BODY_BYTES = 16_000_000;
    private static final int SECONDS = 8;

    /** Every 20th answer of the faulty backend is broken off, for 5 s. */
    private static final int BREAK_OFF_EACH = 20;

    private static final long BREAK_OFF_FROM = 1000;
    private static final long BREAK_OFF_UNTIL = 6000;

    private static volatile long startedAt;

    private static final AtomicInteger ANSWERS = new AtomicInteger();

    private CaseResetLooksComplete() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, CaseResetLooksComplete::run);
    }

    private static String run(Kit kit) throws Exception {
        kit.store.putConfiguration(
                Kit.configuration(
                        7,
                        "books",
                        Kit.route("import", "/import/", "non_idempotent", "books", DEADLINE)));
        List<Kit.Relay> relays = new ArrayList<>();
        for (int machine = 1; machine <= 2; machine++) {
            Kit.Relay relay = kit.relay(machine, "zone-" + machine, "books");
            relays.add(relay);
            relay.start();
            Backend backend =
                    new Backend(kit, kit.ip(machine), "books", "i-" + machine) {
                        @Override
                        protected boolean early(Connection connection, Http.Message request)
                                throws Exception {
                            return answerEarly(this, connection, request);
                        }
                    };
            backend.receiveBuffer = 64 * 1024;
            backend.start().startBeating();
        }
        for (Kit.Relay relay : relays) {
            relay.awaitReady();
        }
        Kit.sleep(4500);
        int mixed = 0;
        int served = 0;
        startedAt = System.nanoTime();
        for (int i = 0; sinceStart() < SECONDS * 1000L; i++) {
            String id = "r" + i;
            try (Client client = new Client(kit, kit.ip(1))) {
                client.send("POST", "/import/" + id, id, DEADLINE, new byte[BODY_BYTES]);
                Http.Message answer = client.receive(DEADLINE);
                kit.record("client: " + id + " gets " + answer.first + " stamp '"
                        + answer.header("server-stamp") + "' with a body of " + answer.body.length
                        + " bytes that looks complete");
                boolean stamped = !answer.header("server-stamp").isEmpty();
                if (answer.status() == 200) {
                    served++;
                }
                if (stamped && answer.body.length != whole(id).length()) {
                    mixed++;
                }
            } catch (IOException failure) {
                kit.record("client: " + id + " ended with " + failure);
            }
        }
        kit.record("served " + served + ", cut and looking complete " + mixed);
        if (served < 30) {
            throw new Kit.CannotRun("few requests were served: " + served);
        }
        return mixed > 0 ? mixed + " answers that were cut look complete" : "";
    }

    private static long sinceStart() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private static String whole(String id) {
        return ("rejected " + id + " ").repeat(200);
    }

    /** Answers the request before it is in; with trouble, the answer is reset half way. */
    private static boolean answerEarly(
            Backend backend, Backend.Connection connection, Http.Message request) throws Exception {
        if (request.word(1).equals("/healthz")) {
            return false;
        }
        String id = request.header("request-id");
        String body = whole(id);
        String head =
                "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + id
                        + "\r\nConnection: close\r\n\r\n";
        connection.in().readNBytes(100_000);
        backend.kit.ran(backend, request);
        boolean breakOff =
                backend.kit.trouble
                        && backend.id.equals("i-1")
                        && sinceStart() >= BREAK_OFF_FROM
                        && sinceStart() < BREAK_OFF_UNTIL
                        && ANSWERS.incrementAndGet() % BREAK_OFF_EACH == 0;
        if (breakOff) {
            backend.send(connection, head + body.substring(0, body.length() / 2));
            Kit.sleep(100);
            backend.kit.record("backend " + backend.id + " resets the connection of " + id
                    + " after half of its answer");
            connection.socket().setSoLinger(true, 0);
        } else {
            backend.send(connection, head + body);
            connection.socket().shutdownOutput();
            while (connection.in().read(new byte[65536]) >= 0) {
                // Reads the rest of the request, so that the connection is not reset.
            }
        }
        connection.socket().close();
        throw new IOException("closed");
    }
}
