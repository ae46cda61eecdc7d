package org.damaskmoor.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.soak.fault.FaultInjectingProxy;
import org.damaskmoor.soak.verification.Exchange;
import org.damaskmoor.soak.verification.Exchange.End;
import org.damaskmoor.soak.verification.TenantRequest;

/**
 * Sends requests one after the other over a keep-alive connection and opens a new one when the
 * relay has closed it. Confined to one thread.
 */
final class SoakCaller implements Runnable {
    private static final long MEAN_GAP_MILLISECONDS = 15;
    private static final long RECONNECT_MILLISECONDS = 100;

    /** The deadline that requests carry plus 1.5 s; a later answer counts as missing. */
    private static final int READ_TIMEOUT_MILLISECONDS = 4500;

    private static final int OK = 200;

    /** One in this many reads is for the public route. */
    private static final int PUBLIC_INTERVAL = 8;

    /**
     * Number of recent versions whose routes are requested: the newest version alone is rarely past
     * its propagation limit.
     */
    private static final int RECENT_VERSIONS = 4;

    private final String name;
    private final int relay;
    private final SoakSite site;
    private final Queue<Exchange> exchanges;
    private final BooleanSupplier stopped;
    private final LongSupplier clock;
    private final SplittableRandom random;
    private final Queue<TenantRequest> tenantRequests;
    private final RandomGenerator keyRandom;
    private int sent;

    SoakCaller(
            String name,
            int relay,
            SoakSite site,
            Queue<Exchange> exchanges,
            BooleanSupplier stopped,
            LongSupplier clock,
            SplittableRandom random,
            Queue<TenantRequest> tenantRequests,
            RandomGenerator keyRandom) {
        this.name = name;
        this.relay = relay;
        this.site = site;
        this.exchanges = exchanges;
        this.stopped = stopped;
        this.clock = clock;
        this.random = random;
        this.tenantRequests = tenantRequests;
        this.keyRandom = keyRandom;
    }

    @Override
    public void run() {
        while (!stopped.getAsBoolean()) {
            try (RawCaller connection =
                    new RawCaller(
                            site.nodes().get(relay).callerProxy().address(),
                            READ_TIMEOUT_MILLISECONDS)) {
                while (!stopped.getAsBoolean() && exchange(connection)) {
                    Thread.sleep(random.nextLong(2 * MEAN_GAP_MILLISECONDS));
                }
                Thread.sleep(RECONNECT_MILLISECONDS);
            } catch (IOException unreachable) {
                // The relay is down or restarting; the next connection may succeed.
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    /**
     * Sends a request and records its outcome; returns false if the connection is no longer usable.
     */
    private boolean exchange(RawCaller connection) throws IOException {
        sent++;
        String id = name + "-" + sent;
        int choice = random.nextInt(10);
        int version =
                choice < 2 ? Math.max(1, site.version() - random.nextInt(RECENT_VERSIONS)) : 0;
        boolean order = choice >= 6;
        boolean isPublic = keyRandom.nextInt(PUBLIC_INTERVAL) == 0 && !order && version == 0;
        String key = SoakTenants.anyKey(site.version(), keyRandom);
        String headers =
                "Tenant: forged\r\n"
                        + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n");
        String readPath = isPublic ? SoakTenants.PUBLIC_PREFIX + "x" : "/read/x";
        String request =
                order
                        ? RawCaller.post("/order/" + sent, id, "body of " + id, headers)
                        : RawCaller.get(
                                version > 0 ? "/v" + version + "/x" : readPath, id, headers);
        long sentAt = clock.getAsLong();
        final long calledAt = sentAt;
        connection.send(request);
        End end = End.ANSWERED;
        int status = 0;
        boolean own = true;
        String stamp = "";
        boolean usable = true;
        try {
            RawCaller.Answer answer = connection.readAnswer();
            status = answer.status();
            end = answer.isNotRun() ? End.SAID_NOT_RUN : End.ANSWERED;
            stamp = answer.headers().getOrDefault("server-stamp", "");
            own = (status != OK && stamp.isEmpty()) || answer.isOwn(id);
            usable = !"close".equalsIgnoreCase(answer.headers().get("connection"));
        } catch (SocketTimeoutException silent) {
            end = End.NO_ANSWER;
            usable = false;
        } catch (IOException closed) {
            FaultInjectingProxy proxy = site.nodes().get(relay).callerProxy();
            long lastForwardedAt = proxy.lastForwardedAt(connection.localPort());
            end = lastForwardedAt >= sentAt ? End.CLOSED : End.NEVER_REACHED;
            sentAt = Math.max(sentAt, lastForwardedAt);
            usable = false;
        }
        tenantRequests.add(new TenantRequest(id, key, isPublic, calledAt, status));
        exchanges.add(
                new Exchange(
                        id,
                        relay,
                        order,
                        version,
                        sentAt,
                        clock.getAsLong(),
                        end,
                        status,
                        stamp,
                        own));
        return usable;
    }
}
