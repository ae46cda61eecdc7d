package org.damaskmoor.soak.verification;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import org.damaskmoor.soak.verification.DisturbanceLog.Component;
import org.damaskmoor.soak.verification.Exchange.End;
import org.damaskmoor.soak.verification.RunLedger.Run;

/**
 * Checks what callers and upstreams observed against the guarantees of the relay. Holds no state
 * besides its inputs; confined to one thread.
 */
public final class GuaranteeChecker {
    /** Limit from the store's acknowledgement of a configuration until every relay uses it. */
    private static final long PROPAGATION_LIMIT_MILLISECONDS = 2500;

    /**
     * Time during which a relay may still answer by the previous version after it first served a
     * route of the new one.
     */
    private static final long ROUTE_FLAP_TOLERANCE_MILLISECONDS = 250;

    /**
     * Time during which a stopping relay may close a connection on which a request has just
     * arrived.
     */
    private static final long CLOSE_RACE_MILLISECONDS = 200;

    /** Time after the acknowledgement from which a draining upstream must receive no calls. */
    private static final long DRAIN_GRACE_MILLISECONDS = 2500;

    /**
     * Disturbances that ended up to this long before an event still excuse it, since they may have
     * left a connection silent.
     */
    private static final long LOOK_BACK_MILLISECONDS = 6000;

    private static final int OK = 200;
    private static final int UNKNOWN_ROUTE = 404;

    private final DisturbanceLog disturbances;
    private final RunLedger ledger;

    public GuaranteeChecker(DisturbanceLog disturbances, RunLedger ledger) {
        this.disturbances = disturbances;
        this.ledger = ledger;
    }

    /** Returns one line for each guarantee that an exchange violates. */
    public List<String> violations(Collection<Exchange> exchanges) {
        List<String> violations = new ArrayList<>();
        for (Exchange exchange : exchanges) {
            check(exchange, violations);
        }
        return violations;
    }

    private void check(Exchange exchange, List<String> violations) {
        List<Run> runs = ledger.runs(exchange.id());
        if (exchange.nonIdempotent() && runs.size() > 1) {
            violations.add(line("RAN_TWICE", exchange, runs));
        }
        if (exchange.end() == End.SAID_NOT_RUN && !runs.isEmpty()) {
            violations.add(line("FALSE_NOT_RUN", exchange, runs));
        }
        if (exchange.end() == End.ANSWERED && !exchange.own()) {
            violations.add(line("NOT_ITS_ANSWER", exchange, runs));
        }
        if (isUpstreamAnswer(exchange)
                && !ledger.hasAnswer(exchange.stamp(), exchange.id(), exchange.status())) {
            violations.add(line("NOT_ITS_STATUS", exchange, runs));
        }
        if (isUnanswered(exchange, runs)) {
            violations.add(line("UNANSWERED", exchange, runs));
        }
    }

    /** A success without a stamp counts as well: relays answer only failures themselves. */
    private static boolean isUpstreamAnswer(Exchange exchange) {
        return !exchange.stamp().isEmpty() || exchange.status() == OK;
    }

    private boolean isUnanswered(Exchange exchange, List<Run> runs) {
        if (exchange.end() != End.CLOSED && exchange.end() != End.NO_ANSWER) {
            return false;
        }
        int relay = exchange.relay();
        long from = exchange.sentAt() - LOOK_BACK_MILLISECONDS;
        boolean disturbed =
                disturbances.overlaps(
                                Component.PROCESS, relay, exchange.sentAt(), exchange.endedAt())
                        || disturbances.overlaps(
                                Component.CALLERS, relay, from, exchange.endedAt());
        boolean stopping =
                disturbances.overlaps(
                        Component.PLANNED_STOP, relay, exchange.sentAt(), exchange.endedAt());
        boolean justSent =
                exchange.endedAt() - exchange.sentAt() <= CLOSE_RACE_MILLISECONDS && runs.isEmpty();
        return !disturbed && !(stopping && justSent);
    }

    /**
     * Returns one line for each request that a relay handled by an older configuration than
     * allowed.
     *
     * @param storedAt when the store had acknowledged each version, in milliseconds
     * @param readyAt when the successive processes of each relay became ready
     */
    public List<String> staleRoutes(
            Collection<Exchange> exchanges,
            Map<Integer, Long> storedAt,
            Map<Integer, NavigableSet<Long>> readyAt) {
        List<String> violations = new ArrayList<>();
        Map<String, Long> firstServed = new HashMap<>();
        List<Exchange> inOrder = new ArrayList<>(exchanges);
        inOrder.sort((one, other) -> Long.compare(one.endedAt(), other.endedAt()));
        for (Exchange exchange : inOrder) {
            if (exchange.version() == 0) {
                continue;
            }
            Long lifetime = readyAt.get(exchange.relay()).floor(exchange.sentAt());
            String key = exchange.relay() + "/" + lifetime + "/" + exchange.version();
            boolean unknownRoute = exchange.status() == UNKNOWN_ROUTE;
            if (exchange.status() == OK) {
                firstServed.putIfAbsent(key, exchange.endedAt());
            } else if (unknownRoute) {
                long firstServedAt = firstServed.getOrDefault(key, Long.MAX_VALUE / 2);
                if (exchange.sentAt() > firstServedAt + ROUTE_FLAP_TOLERANCE_MILLISECONDS) {
                    violations.add(line("STEPPED_BACK", exchange, List.of()));
                } else if (isLate(exchange, storedAt, lifetime)) {
                    violations.add(line("OUTDATED", exchange, List.of()));
                }
            }
        }
        return violations;
    }

    private boolean isLate(Exchange exchange, Map<Integer, Long> storedAt, Long lifetime) {
        long change = storedAt.get(exchange.version());
        int relay = exchange.relay();
        long from = change - LOOK_BACK_MILLISECONDS;
        long until = exchange.endedAt();
        boolean storeReachable =
                !disturbances.overlaps(Component.STORE, 0, from, until)
                        && !disturbances.overlaps(Component.STORE_LINK, relay, from, until)
                        && !disturbances.overlaps(Component.PROCESS, relay, change, until);
        boolean startedBeforeChange = lifetime != null && lifetime < change;
        return storeReachable
                && startedBeforeChange
                && exchange.sentAt() > change + PROPAGATION_LIMIT_MILLISECONDS;
    }

    /**
     * Returns one line for each run that started at an upstream after its drain had to be complete.
     *
     * @param drainAcknowledgedAt when the relay acknowledged the draining announcement, by upstream
     *     incarnation
     */
    public List<String> callsAfterDrain(Map<String, Long> drainAcknowledgedAt) {
        return ledger.all().stream()
                .filter(
                        run -> {
                            Long since = drainAcknowledgedAt.get(run.upstream());
                            return since != null
                                    && run.at() > since + DRAIN_GRACE_MILLISECONDS
                                    && !disturbances.overlaps(
                                            Component.PROCESS, run.relay(), since, run.at());
                        })
                .map(run -> "broken=CALLED_AFTER_LEAVING run=" + run)
                .toList();
    }

    private static String line(String guarantee, Exchange exchange, List<Run> runs) {
        return "broken=" + guarantee + " request=" + exchange + " runs=" + runs;
    }
}
