package org.damaskmoor.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.damaskmoor.platform.standin.AnnouncementClient;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn.Connection;
import org.damaskmoor.platform.standin.UpstreamStandIn.Request;
import org.damaskmoor.soak.promise.RunLedger;

/**
 * The upstream beside one relay: runs requests in its slots, announces itself, and can die, freeze
 * and leave.
 *
 * <p>Thread-safe. Invariants: a run is in the ledger before its work begins; each incarnation has a
 * name of its own.
 */
final class SoakUpstream implements AutoCloseable {
    private static final int SLOTS = 3;
    private static final long SHORTEST_WORK_MILLISECONDS = 2;
    private static final long LONGEST_WORK_MILLISECONDS = 60;
    private static final long ANNOUNCE_EVERY_MILLISECONDS = 400;
    private static final int OK = 200;

    private final int relay;
    private final int port;
    private final InetSocketAddress announcements;
    private final RunLedger ledger;
    private final LongSupplier clock;
    private final Map<String, Long> leavingSince = new ConcurrentHashMap<>();
    private final Object thaw = new Object();
    private volatile Incarnation present;
    private volatile boolean frozen;
    private volatile boolean closed;
    private int incarnations;

    private record Incarnation(String id, long born, UpstreamStandIn server, Semaphore slots) {}

    SoakUpstream(
            int relay,
            int port,
            InetSocketAddress announcements,
            RunLedger ledger,
            LongSupplier clock) {
        this.relay = relay;
        this.port = port;
        this.announcements = announcements;
        this.ledger = ledger;
        this.clock = clock;
    }

    /** Starts a new incarnation. */
    synchronized void start() throws IOException {
        if (closed || present != null) {
            return;
        }
        incarnations++;
        String id = "upstream-" + relay + "-" + incarnations;
        UpstreamStandIn server = new UpstreamStandIn(port);
        Incarnation started = new Incarnation(id, clock.getAsLong(), server, new Semaphore(SLOTS));
        server.setScript((request, connection) -> answer(started, request, connection));
        present = started;
        Thread announcing = new Thread(() -> announce(started), "announce-" + id);
        announcing.setDaemon(true);
        announcing.start();
    }

    /** Dies at once, with its work. */
    synchronized void kill() throws IOException {
        Incarnation killed = present;
        present = null;
        if (killed != null) {
            killed.server().close();
        }
    }

    /** Stands still, or goes on. */
    void freeze(boolean freeze) {
        synchronized (thaw) {
            frozen = freeze;
            thaw.notifyAll();
        }
    }

    /** Says that it leaves; it still serves what comes. */
    void leave() {
        Incarnation leaving = present;
        if (leaving != null) {
            leavingSince.putIfAbsent(leaving.id(), Long.MAX_VALUE / 2);
        }
    }

    /** When the relay acknowledged that an incarnation leaves. */
    Map<String, Long> leavingSince() {
        return leavingSince;
    }

    private void answer(Incarnation self, Request request, Connection connection)
            throws IOException, InterruptedException {
        awaitThaw();
        if (!self.slots().tryAcquire()) {
            UpstreamStandIn.answerNotRun(connection);
            return;
        }
        try {
            ledger.ran(request.id(), new RunLedger.Run(relay, self.id(), clock.getAsLong()));
            Thread.sleep(
                    ThreadLocalRandom.current()
                            .nextLong(SHORTEST_WORK_MILLISECONDS, LONGEST_WORK_MILLISECONDS));
            awaitThaw();
            UpstreamStandIn.answerOk(request, connection);
        } finally {
            self.slots().release();
        }
    }

    private void awaitThaw() throws InterruptedException {
        synchronized (thaw) {
            while (frozen) {
                thaw.wait();
            }
        }
    }

    private void announce(Incarnation self) {
        try {
            for (long sequence = 1; self.equals(present); sequence++) {
                awaitThaw();
                boolean leaving = leavingSince.containsKey(self.id());
                boolean acknowledged = send(self, sequence, leaving ? "draining" : "ready");
                if (leaving && acknowledged) {
                    leavingSince.merge(self.id(), clock.getAsLong(), Math::min);
                }
                Thread.sleep(ANNOUNCE_EVERY_MILLISECONDS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean send(Incarnation self, long sequence, String state) {
        try {
            return AnnouncementClient.announce(
                            announcements, "books", self.id(), self.born(), sequence, state, SLOTS)
                    == OK;
        } catch (IOException relayIsAway) {
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
