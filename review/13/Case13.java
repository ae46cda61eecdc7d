package standin3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import standin3.Client.Answer;

/**
 * Machines are stopped in turn while a backend leaves: the second one is that of the backend, which
 * still runs bookings that clients of the first one have sent.
 */
public final class Case13 {
    /** The machine of the clients, that of the leaving backend, and three more of its service. */
    private static final int MACHINES = 5;

    private static final int SLOTS = 9;
    private static final int BOOKINGS = 8;
    private static final int WARM_BOOKINGS = 4;

    /** The longest work on a booking in the site file. */
    private static final long WORK_MILLISECONDS = 1700;

    private static final long BEAT_MILLISECONDS = 1500;
    /** The client's deadline and the timeout of the route. */
    private static final long DEADLINE_MILLISECONDS = 4000;

    /** Pause between two machines, as in the site file. */
    private static final long GAP_MILLISECONDS = 1000;

    private static final long FIRST_BOOKING_MILLISECONDS = 780;
    private static final long BOOKING_INTERVAL_MILLISECONDS = 15;

    /** What a client got, and how long after it had sent its booking. */
    private record Outcome(Answer answer, long milliseconds) {
        /** Whether it is no answer of the backend, although time was left. */
        boolean isBrokenOff() {
            boolean isWhole = answer.status() == 200 && answer.hasStamp();
            return !isWhole && milliseconds < DEADLINE_MILLISECONDS;
        }
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, Case13::play);
    }

    private static int play(Rig rig) throws Exception {
        rig.store.put(
                "op",
                "config",
                new Configuration("00000007")
                        .route("/booking/", "non_idempotent", "besuch", "4000ms", "800ms")
                        .route("/roster/", "idempotent", "register", "5000ms", "2000ms")
                        .text());
        Relay entry = rig.startRelay(1, "sidecar-1", "zone-a", "register");
        Relay stopped = rig.startRelay(2, "sidecar-2", "zone-a", "besuch");
        List<Relay> others = new ArrayList<>();
        for (int machine = 3; machine <= MACHINES; machine++) {
            others.add(rig.startRelay(machine, "sidecar-" + machine, "zone-b", "besuch"));
        }
        List<Relay> relays = new ArrayList<>(others);
        relays.addAll(List.of(entry, stopped));
        rig.await("all relays", 20_000, () -> relays.stream().allMatch(Relay::isReady));
        backend(rig, entry, "i-register-1", "register");
        Backend leaver = backend(rig, stopped, "i-leaver", "besuch");
        for (Relay other : others) {
            backend(rig, other, "i-besuch-" + relays.indexOf(other), "besuch");
        }
        Thread.sleep(4000);
        for (int i = 1; i <= WARM_BOOKINGS; i++) {
            if (book(rig, entry, "warm-" + i).answer().status() != 200) {
                return Rig.COULD_NOT_RUN;
            }
        }
        // Machines are stopped in turn, that of the clients first.
        entry.signal("TERM");
        long begun = System.nanoTime();
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Outcome>> outcomes = new ArrayList<>();
        Thread.sleep(FIRST_BOOKING_MILLISECONDS);
        for (int i = 1; i <= BOOKINGS; i++) {
            String id = "booking-" + i;
            outcomes.add(clients.submit(() -> book(rig, entry, id)));
            Thread.sleep(BOOKING_INTERVAL_MILLISECONDS);
        }
        if (leaver.deregister() != 200) {
            return Rig.COULD_NOT_RUN;
        }
        Thread.sleep(Math.max(0, GAP_MILLISECONDS - (System.nanoTime() - begun) / 1_000_000));
        if (rig.trouble) {
            stopped.signal("TERM");
        }
        int ran = 0;
        int broken = 0;
        for (int i = 1; i <= BOOKINGS; i++) {
            String id = "booking-" + i;
            Outcome outcome =
                    outcomes.get(i - 1).get(DEADLINE_MILLISECONDS + 3000, TimeUnit.MILLISECONDS);
            if (leaver.ran.stream().anyMatch(request -> request.id().equals(id))) {
                ran++;
                broken += outcome.isBrokenOff() ? 1 : 0;
            }
        }
        clients.shutdownNow();
        rig.note(
                "judged",
                broken
                        + " of "
                        + ran
                        + " bookings that the leaving backend ran got no answer of it");
        if (ran == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static Outcome book(Rig rig, Relay entry, String id) throws IOException {
        long sentAt = System.nanoTime();
        try (Client client = new Client(rig, entry)) {
            Answer answer = client.exchange("POST", "/booking/x", id, DEADLINE_MILLISECONDS);
            return new Outcome(answer, (System.nanoTime() - sentAt) / 1_000_000);
        }
    }

    private static Backend backend(Rig rig, Relay relay, String id, String service)
            throws Exception {
        Backend backend =
                rig.keep(new Backend(rig, relay, id, service, SLOTS, work -> WORK_MILLISECONDS));
        backend.beat(BEAT_MILLISECONDS);
        return backend;
    }

    private Case13() {}
}
