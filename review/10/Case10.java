import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once: clients that send bodies of 3 MB, far below `maxBodyBytes`, usually one
 * after the other, begin at the same moment. Other clients of the machine go on with
 * small bookings.
 */
public final class Case10 {
    /** Less than a twentieth of `maxBodyBytes`. */
    private static final int BODY_BYTES = 3 * 1024 * 1024;
    private static final int UPLOAD_MILLISECONDS = 2500;
    private static final int USUAL_UPLOADERS = 20;
    /** The largest dose of `burst` in reelcraft-mesh-grown.toml: x 2.6, for_s 5.6, for one class. */
    private static final int BURST_UPLOADERS = 52;
    private static final long BURST_MILLISECONDS = 5600;
    private static final int SMALL_CLIENTS = 12;
    private static final long TIMEOUT_MILLISECONDS = 4000;

    /** One booking: when it was sent, and when it was answered, or -1. */
    private record Sent(long at, long answeredAfter) {}

    private static final List<Sent> small = new CopyOnWriteArrayList<>();
    private static final AtomicBoolean stop = new AtomicBoolean();
    private static final AtomicInteger uploaded = new AtomicInteger();
    private static final AtomicInteger notUploaded = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        String routes = Config.route("order", "/order/", "non_idempotent", "books", TIMEOUT_MILLISECONDS + "ms") + ","
                + Config.route("file", "/file/", "idempotent", "books", "10000ms");
        try (Recorder record = new Recorder(Path.of("review/10/record.txt"));
                Deployment site = new Deployment(record, routes, List.of("books", "books", "books"),
                        (backend, request, out, socket) -> {
                            Thread.sleep(60);
                            return backend.answer(request, out, 200, "done".getBytes(StandardCharsets.US_ASCII));
                        }, Map.of())) {
            if (site.awaitReady()) {
                exit = play(record, site, trouble);
            } else {
                record.line("a relay did not become ready");
            }
        }
        System.exit(exit);
    }

    private static int play(Recorder record, Deployment site, boolean trouble) throws Exception {
        Relay relay = site.relays.get(0);
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            int number = i;
            Threads.start("small", () -> book(relay.outbound, number, record));
        }
        for (int i = 0; i < USUAL_UPLOADERS; i++) {
            long delay = (long) i * UPLOAD_MILLISECONDS / USUAL_UPLOADERS;
            Threads.start("uploader", () -> {
                Thread.sleep(delay);
                while (!stop.get()) {
                    upload(relay.outbound, record);
                }
            });
        }
        Thread.sleep(8000);
        int usual = uploaded.get();
        record.line("usual load: %d bodies accepted, %d not", usual, notUploaded.get());
        if (usual < USUAL_UPLOADERS || notUploaded.get() > 0) {
            return 2;
        }
        long from = record.now();
        if (trouble) {
            record.line("burst: %d uploads begin at once", BURST_UPLOADERS - USUAL_UPLOADERS);
            for (int i = USUAL_UPLOADERS; i < BURST_UPLOADERS; i++) {
                Threads.start("burst", () -> {
                    while (!stop.get()) {
                        upload(relay.outbound, record);
                    }
                });
            }
        }
        Thread.sleep(BURST_MILLISECONDS);
        stop.set(true);
        record.line("the uploads end; %d bodies were accepted, %d not", uploaded.get(), notUploaded.get());
        Thread.sleep(20_000);
        long until = record.now() - TIMEOUT_MILLISECONDS - 1000;
        int asked = 0;
        int open = 0;
        int unanswered = 0;
        for (Sent sent : small) {
            if (sent.at() >= from && sent.at() <= until) {
                asked++;
                boolean late = sent.answeredAfter() < 0 || sent.answeredAfter() > TIMEOUT_MILLISECONDS;
                boolean missing = sent.answeredAfter() < 0 || sent.answeredAfter() > TIMEOUT_MILLISECONDS + 500;
                open += late ? 1 : 0;
                unanswered += missing ? 1 : 0;
            }
        }
        String verdict = String.format("relay-0 alive: %s, ready: %s; bodies not accepted: %d; bookings since"
                + " the burst: %d, unanswered at their route's timeout: %d, 0.5 s later: %d",
                relay.isAlive(), relay.isReady(), notUploaded.get(), asked, open, unanswered);
        record.line("%s", verdict);
        System.out.println(verdict);
        return open >= 8 && unanswered * 2 > open ? 1 : 0;
    }

    private static void upload(int port, Recorder record) throws InterruptedException {
        String id = Client.newId();
        record.line("client begins to send %d bytes to /file/ %s", BODY_BYTES, id);
        String result;
        try (Client client = new Client(port)) {
            client.sendHead("POST", "/file/1", id, 10_000, BODY_BYTES);
            byte[] piece = new byte[BODY_BYTES / 50];
            int sent = 0;
            while (sent < BODY_BYTES) {
                int length = Math.min(piece.length, BODY_BYTES - sent);
                client.out.write(piece, 0, length);
                sent += length;
                Thread.sleep(UPLOAD_MILLISECONDS / 50);
            }
            client.out.flush();
            Wire.Message answer = client.read(12_000);
            result = answer == null ? "no answer" : answer.first();
            (answer != null && answer.status() == 200 ? uploaded : notUploaded).incrementAndGet();
        } catch (IOException broken) {
            result = broken.toString();
            notUploaded.incrementAndGet();
        }
        record.line("client: %s for %s", result, id);
    }

    private static void book(int port, int number, Recorder record) throws Exception {
        Client client = null;
        while (true) {
            String id = Client.newId();
            long at = record.now();
            long after = -1;
            String result;
            try {
                if (client == null) {
                    client = new Client(port);
                }
                client.send("POST", "/order/" + number, id, TIMEOUT_MILLISECONDS,
                        "booking".getBytes(StandardCharsets.US_ASCII));
                Wire.Message answer = client.read(TIMEOUT_MILLISECONDS + 600);
                result = answer == null ? "closed" : answer.first();
                after = answer == null ? -1 : record.now() - at;
                if (answer == null || answer.closes()) {
                    client.close();
                    client = null;
                }
            } catch (IOException failed) {
                result = failed.toString();
                if (client != null) {
                    client.close();
                }
                client = null;
            }
            small.add(new Sent(at, after));
            record.line("client sent /order/%d %s at %d, gets %s", number, id, at, result);
            Thread.sleep(100);
        }
    }
}
