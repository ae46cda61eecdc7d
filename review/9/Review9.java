import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One garbled answer: a backend in trouble sends an answer without a length whose body is its status
 * line again and again, and breaks off. Clients of the machine beside it go on with small bookings.
 */
public final class Review9 {
    /** Half of what a relay accepts from a backend if its settings don't say otherwise. */
    private static final int GARBLED_BYTES = 4_000_000;
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final int CLIENTS = 12;
    private static final long TIMEOUT_MILLISECONDS = 4000;

    /** One booking: when it was sent, and after which time it was answered, or -1. */
    private record Sent(long at, long answeredAfter) {}

    private static final List<Sent> bookings = new CopyOnWriteArrayList<>();
    private static final AtomicBoolean faulty = new AtomicBoolean();
    private static final AtomicInteger answers = new AtomicInteger();
    private static final AtomicInteger garbled = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        String routes = Config.route("order", "/order/", "non_idempotent", "books", TIMEOUT_MILLISECONDS + "ms");
        try (Recorder record = new Recorder(Path.of("review/9/record.txt"));
                Deployment site = new Deployment(record, routes, List.of("books", "books", "books"),
                        Review9::run, Map.of())) {
            if (site.awaitReady()) {
                exit = play(record, site, trouble);
            } else {
                record.line("a relay did not become ready");
            }
        }
        // A failure of the test itself ends the JVM with 1, so that a broken rule needs another code.
        System.exit(exit == 1 ? 10 : exit);
    }

    private static boolean run(Backend backend, Wire.Message request, OutputStream out, Socket socket)
            throws Exception {
        backend.record.line("backend %s runs %s %s", backend.id, request.path(), request.header("request-id"));
        Thread.sleep(60);
        answers.incrementAndGet();
        if (backend.id.equals("i-0") && faulty.compareAndSet(true, false)) {
            garbled.incrementAndGet();
            backend.record.line("backend %s garbles its answer to %s: %d bytes without a length", backend.id,
                    request.header("request-id"), GARBLED_BYTES);
            out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id") + "\r\nServer-Stamp: "
                    + Backend.stamp(request) + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(STATUS_LINE.repeat(GARBLED_BYTES / STATUS_LINE.length()).getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return false;
        }
        return backend.answer(request, out, 200, "done".getBytes(StandardCharsets.US_ASCII));
    }

    private static int play(Recorder record, Deployment site, boolean trouble) throws Exception {
        Relay relay = site.relays.get(0);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Threads.start("client", () -> book(relay.outbound, number, record));
        }
        Thread.sleep(4000);
        long from = record.now();
        int before = answers.get();
        faulty.set(trouble);
        record.line("fault begins: %s", trouble);
        Thread.sleep(20_000);
        long until = record.now() - TIMEOUT_MILLISECONDS - 1000;
        int asked = 0;
        int open = 0;
        int unanswered = 0;
        for (Sent sent : bookings) {
            if (sent.at() >= from - 1000 && sent.at() <= until) {
                asked++;
                boolean late = sent.answeredAfter() < 0 || sent.answeredAfter() > TIMEOUT_MILLISECONDS;
                boolean missing = sent.answeredAfter() < 0 || sent.answeredAfter() > TIMEOUT_MILLISECONDS + 500;
                open += late ? 1 : 0;
                unanswered += missing ? 1 : 0;
            }
        }
        String verdict = String.format("answers garbled: %d of %d; bookings of relay-0's clients: %d, unanswered at"
                + " their route's timeout: %d, 0.5 s later: %d", garbled.get(), answers.get(), asked, open, unanswered);
        record.line("%s", verdict);
        System.out.println(verdict);
        if (before < 100 || (trouble && garbled.get() != 1)) {
            return 2;
        }
        return open >= 8 && unanswered * 2 > open ? 1 : 0;
    }

    private static void book(int port, int number, Recorder record) throws Exception {
        Client client = null;
        while (true) {
            String id = Client.newId();
            long at = record.now();
            long after = -1;
            boolean ended = false;
            String result;
            try {
                if (client == null) {
                    client = new Client(port);
                }
                client.send("POST", "/order/" + number, id, TIMEOUT_MILLISECONDS,
                        "booking".getBytes(StandardCharsets.US_ASCII));
                Wire.Message answer = client.read(TIMEOUT_MILLISECONDS + 600);
                result = answer == null ? "closed" : answer.first();
                ended = answer == null;
                after = answer == null ? -1 : record.now() - at;
                if (answer == null || answer.closes()) {
                    client.close();
                    client = null;
                }
            } catch (IOException failed) {
                result = failed.toString();
                ended = !(failed instanceof SocketTimeoutException);
                if (client != null) {
                    client.close();
                }
                client = null;
            }
            if (!ended) { // A request whose connection was closed is not one that waits for its answer.
                bookings.add(new Sent(at, after));
            }
            record.line("client sent /order/%d %s at %d, gets %s", number, id, at, result);
            Thread.sleep(100);
        }
    }
}
