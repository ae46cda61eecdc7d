package org.damaskmoor.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.soak.fault.FaultyLink;
import org.damaskmoor.soak.promise.Exchange;
import org.damaskmoor.soak.promise.Exchange.End;

/**
 * A caller that sends one request after the other over a connection that it uses until the relay
 * closes it. Confined to one thread.
 */
final class SoakCaller implements Runnable {
    private static final long BETWEEN_REQUESTS_MILLISECONDS = 15;
    private static final long RECONNECT_MILLISECONDS = 100;

    /** The deadline that requests carry and 1.5 s: an answer that still comes later is too late. */
    private static final int PATIENCE_MILLISECONDS = 4500;

    private static final int OK = 200;

    /** Versions from which a route is taken: the newest is rarely old enough to be due. */
    private static final int VERSIONS = 4;

    private final String name;
    private final int relay;
    private final SoakSite site;
    private final Queue<Exchange> exchanges;
    private final BooleanSupplier ended;
    private final LongSupplier clock;
    private final SplittableRandom random;
    private int sent;

    SoakCaller(
            String name,
            int relay,
            SoakSite site,
            Queue<Exchange> exchanges,
            BooleanSupplier ended,
            LongSupplier clock,
            SplittableRandom random) {
        this.name = name;
        this.relay = relay;
        this.site = site;
        this.exchanges = exchanges;
        this.ended = ended;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public void run() {
        while (!ended.getAsBoolean()) {
            try (RawCaller connection =
                    new RawCaller(
                            site.nodes().get(relay).callers().address(), PATIENCE_MILLISECONDS)) {
                while (!ended.getAsBoolean() && exchange(connection)) {
                    Thread.sleep(random.nextLong(2 * BETWEEN_REQUESTS_MILLISECONDS));
                }
                Thread.sleep(RECONNECT_MILLISECONDS);
            } catch (IOException notThere) {
                // The relay is away or restarts; the next connection may find it.
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    /** Sends a request and notes its end; false when the connection can't be used any more. */
    private boolean exchange(RawCaller connection) throws IOException {
        sent++;
        String id = name + "-" + sent;
        int choice = random.nextInt(10);
        int version = choice < 2 ? Math.max(1, site.version() - random.nextInt(VERSIONS)) : 0;
        boolean order = choice >= 6;
        String request =
                order
                        ? RawCaller.post("/order/" + sent, id, "body of " + id)
                        : RawCaller.get(version > 0 ? "/v" + version + "/x" : "/read/x", id);
        long sentAt = clock.getAsLong();
        connection.send(request);
        End end = End.ANSWERED;
        int status = 0;
        boolean own = true;
        boolean usable = true;
        try {
            RawCaller.Answer answer = connection.readAnswer();
            status = answer.status();
            end = answer.isNotRun() ? End.SAID_NOT_RUN : End.ANSWERED;
            own = status != OK || answer.isOwn(id);
            usable = !"close".equalsIgnoreCase(answer.headers().get("connection"));
        } catch (SocketTimeoutException silent) {
            end = End.NO_ANSWER;
            usable = false;
        } catch (IOException closed) {
            FaultyLink link = site.nodes().get(relay).callers();
            long passedOnAt = link.passedOnAt(connection.localPort());
            end = passedOnAt >= sentAt ? End.CLOSED : End.NEVER_REACHED;
            sentAt = Math.max(sentAt, passedOnAt);
            usable = false;
        }
        exchanges.add(
                new Exchange(
                        id, relay, order, version, sentAt, clock.getAsLong(), end, status, own));
        return usable;
    }
}
