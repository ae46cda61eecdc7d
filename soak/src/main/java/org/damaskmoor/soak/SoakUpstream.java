package org.damaskmoor.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damaskmoor.platform.standin.AnnouncementClient;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn.Connection;
import org.damaskmoor.platform.standin.UpstreamStandIn.Request;
import org.damaskmoor.soak.verification.ColdTime;
import org.damaskmoor.soak.verification.Notice;
import org.damaskmoor.soak.verification.RunLedger;

/**
 * The upstream of one relay: runs requests in a fixed number of slots, announces itself to the
 * relay, and can be killed, frozen and drained.
 *
 * <p>Thread-safe. Invariants: a run is in the ledger before its work begins; each incarnation has a
 * unique id.
 */
final class SoakUpstream implements AutoCloseable {
    private static final int SLOTS = 3;
    private static final long MINIMUM_SERVICE_MILLISECONDS = 2;
    private static final long MAXIMUM_SERVICE_MILLISECONDS = 60;
    private static final long ANNOUNCEMENT_INTERVAL_MILLISECONDS = 400;
    private static final int OK = 200;

    /** The wall clock is far ahead of the clock of the run, and is never set back to before it. */
    private static final long FIRST_WALL_CLOCK_OFFSET = 1_000_000_000_000L;

    /** One in this many answers is spoiled while answers are spoiled. */
    private static final int SPOILED_INTERVAL = 3;

    /** Time after which the second copy of an answer is sent. */
    private static final long COPY_DELAY_MILLISECONDS = 20;

    private final int relay;
    private final int port;
    private final InetSocketAddress announcements;
    private final RunLedger ledger;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger healthChecks = new AtomicInteger();
    private final List<Notice> notices = new CopyOnWriteArrayList<>();
    private final List<ColdTime> coldTimes = new CopyOnWriteArrayList<>();
    private final Map<String, Long> drainAcknowledgedAt = new ConcurrentHashMap<>();
    private final Object freezeLock = new Object();
    private volatile Incarnation current;
    private volatile boolean frozen;
    private volatile boolean closed;
    private volatile boolean spoilsAnswers;
    private volatile Optional<StutteringAnswers> stuttering = Optional.empty();
    private long wallClockOffset = FIRST_WALL_CLOCK_OFFSET;
    private int incarnations;

    private record Incarnation(
            String id, long startedAt, UpstreamStandIn server, Semaphore slots) {}

    SoakUpstream(
            int relay,
            int port,
            InetSocketAddress announcements,
            RunLedger ledger,
            LongSupplier clock,
            Consumer<String> log) {
        this.relay = relay;
        this.port = port;
        this.announcements = announcements;
        this.ledger = ledger;
        this.clock = clock;
        this.log = log;
    }

    /** Starts a new incarnation. */
    synchronized void start() throws IOException {
        if (closed || current != null) {
            return;
        }
        incarnations++;
        String id = "upstream-" + relay + "-" + incarnations;
        UpstreamStandIn server = new UpstreamStandIn(port);
        long startedAt = wallClockOffset + clock.getAsLong();
        Incarnation started = new Incarnation(id, startedAt, server, new Semaphore(SLOTS));
        server.setScript((request, connection) -> answer(started, request, connection));
        server.setHealthScript(connection -> answerHealthCheck(started, connection));
        if (incarnations > 1) {
            long now = clock.getAsLong();
            coldTimes.add(new ColdTime(id, now, now + SoakTenants.COLD_START_MILLISECONDS));
        }
        current = started;
        Thread announcing = new Thread(() -> announce(started), "announce-" + id);
        announcing.setDaemon(true);
        announcing.start();
    }

    /** Kills the current incarnation together with the requests that it runs. */
    synchronized void kill() throws IOException {
        Incarnation killed = current;
        current = null;
        if (killed != null) {
            killed.server().close();
        }
    }

    /** Sets the wall clock back, from which the next incarnation takes its start time. */
    synchronized void setClockBack(long milliseconds) {
        wallClockOffset -= milliseconds;
    }

    /** Cuts, spoils or repeats some of the answers from now on, or stops doing so. */
    void spoilAnswers(boolean spoil) {
        spoilsAnswers = spoil;
    }

    /** Answers some requests with status 500, and sends second copies, from now on. */
    void startStuttering(long seed) {
        stuttering = Optional.of(new StutteringAnswers(seed, log));
    }

    /** Sends no second copies any more. */
    void stopStuttering() {
        stuttering = Optional.empty();
    }

    /** Suspends or resumes all work and announcements. */
    void freeze(boolean freeze) {
        synchronized (freezeLock) {
            frozen = freeze;
            freezeLock.notifyAll();
        }
    }

    /**
     * Announces from now on, and says in all answers, that the current incarnation is draining; it
     * still serves requests.
     */
    void startDraining() {
        Incarnation draining = current;
        if (draining != null) {
            draining.server().sayLeaving();
            notices.add(Notice.leaving(draining.id(), clock.getAsLong()));
        }
        announceDraining();
    }

    /** Announces from now on that the current incarnation is draining; its answers don't say it. */
    void announceDraining() {
        Incarnation draining = current;
        if (draining != null) {
            drainAcknowledgedAt.putIfAbsent(draining.id(), Long.MAX_VALUE / 2);
        }
    }

    /**
     * Names a request limit in all answers of the current incarnation for the given time, unless it
     * is draining.
     */
    void nameLimit(double requestsPerSecond, long milliseconds) throws InterruptedException {
        Incarnation limited = current;
        if (limited == null || drainAcknowledgedAt.containsKey(limited.id())) {
            return;
        }
        long from = clock.getAsLong();
        limited.server().nameLimit(Double.toString(requestsPerSecond));
        Thread.sleep(milliseconds);
        if (limited.equals(current)) {
            notices.add(Notice.limit(limited.id(), requestsPerSecond, from, clock.getAsLong()));
            limited.server().clearNotice();
        }
    }

    /** Returns what the upstream has said in its answers. */
    List<Notice> notices() {
        return notices;
    }

    /** Returns when incarnations were cold; the first one never is. */
    List<ColdTime> coldTimes() {
        return coldTimes;
    }

    private long coldMilliseconds(Incarnation self) {
        return coldTimes.stream()
                .filter(cold -> cold.upstream().equals(self.id()))
                .mapToLong(cold -> Math.max(0, cold.until() - clock.getAsLong()))
                .findAny()
                .orElse(0);
    }

    /**
     * Returns when the relay acknowledged the draining announcement, by incarnation; half of the
     * maximum long value until then.
     */
    Map<String, Long> drainAcknowledgedAt() {
        return drainAcknowledgedAt;
    }

    private void answer(Incarnation self, Request request, Connection connection)
            throws IOException, InterruptedException {
        awaitUnfrozen();
        Optional<StutteringAnswers> stutter = stuttering;
        if (stutter.isPresent()) {
            answerTwice(self, request, connection, stutter.get());
            return;
        }
        if (!self.slots().tryAcquire()) {
            UpstreamStandIn.answerNotRun(connection);
            if (isSpoiled()) {
                Thread.sleep(COPY_DELAY_MILLISECONDS);
                UpstreamStandIn.answerNotRun(connection);
            }
            return;
        }
        try {
            work(self, request);
            String stamp = stamp(self, request, OK);
            if (isSpoiled()) {
                answerSpoiled(request, stamp, connection);
            } else {
                connection.send(answer(request, stamp, self.server().notice()));
            }
        } finally {
            self.slots().release();
        }
    }

    private void answerTwice(
            Incarnation self, Request request, Connection connection, StutteringAnswers stutter)
            throws IOException, InterruptedException {
        String id = request.id();
        stutter.onRequest(id, connection);
        List<String> copy;
        if (stutter.refuses(id) || !self.slots().tryAcquire()) {
            copy = stutter.answer(id, UpstreamStandIn.notRun(), connection);
        } else {
            try {
                work(self, request);
                int status = stutter.status(id);
                String stamp = stamp(self, request, status);
                String notice = self.server().notice();
                copy =
                        stutter.answer(
                                new StutteringAnswers.Answer(id, stamp, status, notice),
                                connection);
            } finally {
                self.slots().release();
            }
        }
        stutter.sendCopy(id, copy, connection);
    }

    private void answerHealthCheck(Incarnation self, Connection connection)
            throws IOException, InterruptedException {
        String coldLine = UpstreamStandIn.coldLine(coldMilliseconds(self));
        String answer =
                self.server().healthy().replace("Content-Length", coldLine + "Content-Length");
        Optional<StutteringAnswers> stutter = stuttering;
        if (stutter.isEmpty()) {
            connection.send(answer);
            return;
        }
        String id = "health-" + healthChecks.incrementAndGet();
        stutter.get().onRequest(id, connection);
        stutter.get().sendCopy(id, stutter.get().answer(id, answer, connection), connection);
    }

    private void work(Incarnation self, Request request) throws InterruptedException {
        long now = clock.getAsLong();
        ledger.record(request.id(), new RunLedger.Run(relay, self.id(), now));
        ledger.recordArrival(
                new RunLedger.Arrival(
                        request.id(),
                        relay,
                        self.id(),
                        now - (System.nanoTime() - request.receivedAt()) / 1_000_000,
                        request.headers().getOrDefault("tenant", ""),
                        request.toString().contains(SoakTenants.KEY_MARK)));
        Thread.sleep(
                ThreadLocalRandom.current()
                        .nextLong(MINIMUM_SERVICE_MILLISECONDS, MAXIMUM_SERVICE_MILLISECONDS));
        awaitUnfrozen();
    }

    /** Returns the stamp of a run that is about to answer with the given status. */
    private String stamp(Incarnation self, Request request, int status) {
        String stamp = self.id() + "." + runs.incrementAndGet();
        ledger.recordAnswer(stamp, request.id(), status);
        return stamp;
    }

    private static String answer(Request request, String stamp, String moreHeaders) {
        String id = request.id();
        return UpstreamStandIn.answer(id, stamp, OK, UpstreamStandIn.body(id), moreHeaders);
    }

    private boolean isSpoiled() {
        return spoilsAnswers && ThreadLocalRandom.current().nextInt(SPOILED_INTERVAL) == 0;
    }

    private static void answerSpoiled(Request request, String stamp, Connection connection)
            throws IOException, InterruptedException {
        String whole = answer(request, stamp, "");
        String withoutLength = whole.replaceFirst("Content-Length: [0-9]+\r\n", "");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        switch (random.nextInt(4)) {
            case 0 -> connection.send(answer(request, stamp, "X-Trace: 7f\u0001a5\r\n"));
            case 1 -> {
                connection.send(whole);
                Thread.sleep(COPY_DELAY_MILLISECONDS);
                connection.send(whole);
            }
            case 2 -> {
                connection.send(whole.substring(0, random.nextInt(whole.length())));
                connection.close();
            }
            default -> {
                connection.send(withoutLength.substring(0, random.nextInt(withoutLength.length())));
                connection.reset();
            }
        }
    }

    private void awaitUnfrozen() throws InterruptedException {
        synchronized (freezeLock) {
            while (frozen) {
                freezeLock.wait();
            }
        }
    }

    private void announce(Incarnation self) {
        try {
            for (long sequence = 1; self.equals(current); sequence++) {
                awaitUnfrozen();
                boolean draining = drainAcknowledgedAt.containsKey(self.id());
                boolean acknowledged = send(self, sequence, draining ? "draining" : "ready");
                if (draining && acknowledged) {
                    drainAcknowledgedAt.merge(self.id(), clock.getAsLong(), Math::min);
                }
                Thread.sleep(ANNOUNCEMENT_INTERVAL_MILLISECONDS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean send(Incarnation self, long sequence, String state) {
        try {
            return AnnouncementClient.announce(
                            announcements,
                            "books",
                            self.id(),
                            self.startedAt(),
                            sequence,
                            state,
                            SLOTS,
                            coldMilliseconds(self) + "ms")
                    == OK;
        } catch (IOException relayUnreachable) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        freeze(false);
        kill();
    }
}
