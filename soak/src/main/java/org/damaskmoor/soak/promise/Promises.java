package org.damaskmoor.soak.promise;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import org.damaskmoor.soak.promise.Disturbances.Part;
import org.damaskmoor.soak.promise.Exchange.End;
import org.damaskmoor.soak.promise.RunLedger.Run;

/**
 * Checks what callers and upstreams saw against what the relay promises. Stateless but for its
 * inputs; confined to one thread.
 */
public final class Promises {
    /** Time from the store's acknowledgement until a configuration is in force everywhere. */
    private static final long CONFIGURATION_MILLISECONDS = 2500;

    /** Time in which a relay may still answer by the version before the one that it showed. */
    private static final long ROLLBACK_MILLISECONDS = 250;

    /** Time in which a stopping relay may close a connection on which a request just came. */
    private static final long LOSS_SLACK_MILLISECONDS = 200;

    /** A leaving upstream gets no calls from this long after the acknowledgement. */
    private static final long DRAIN_MILLISECONDS = 2500;

    /** How long before a change a disturbance still matters: a connection may be silent since. */
    private static final long LOOK_BACK_MILLISECONDS = 6000;

    private static final int OK = 200;
    private static final int UNKNOWN_ROUTE = 404;

    private final Disturbances disturbances;
    private final RunLedger ledger;

    public Promises(Disturbances disturbances, RunLedger ledger) {
        this.disturbances = disturbances;
        this.ledger = ledger;
    }

    /** One line for each promise that an exchange broke. */
    public List<String> broken(Collection<Exchange> exchanges) {
        List<String> broken = new ArrayList<>();
        for (Exchange exchange : exchanges) {
            check(exchange, broken);
        }
        return broken;
    }

    private void check(Exchange exchange, List<String> broken) {
        List<Run> runs = ledger.runs(exchange.id());
        if (exchange.nonIdempotent() && runs.size() > 1) {
            broken.add(line("RAN_TWICE", exchange, runs));
        }
        if (exchange.end() == End.SAID_NOT_RUN && !runs.isEmpty()) {
            broken.add(line("FALSE_NOT_RUN", exchange, runs));
        }
        if (exchange.end() == End.ANSWERED && !exchange.own()) {
            broken.add(line("NOT_ITS_ANSWER", exchange, runs));
        }
        if (isUnanswered(exchange, runs)) {
            broken.add(line("UNANSWERED", exchange, runs));
        }
    }

    private boolean isUnanswered(Exchange exchange, List<Run> runs) {
        if (exchange.end() != End.CLOSED && exchange.end() != End.NO_ANSWER) {
            return false;
        }
        int relay = exchange.relay();
        long from = exchange.sentAt() - LOOK_BACK_MILLISECONDS;
        boolean disturbed =
                disturbances.any(Part.PROCESS, relay, exchange.sentAt(), exchange.endedAt())
                        || disturbances.any(Part.CALLERS, relay, from, exchange.endedAt());
        boolean stopping =
                disturbances.any(Part.PLANNED_STOP, relay, exchange.sentAt(), exchange.endedAt());
        boolean justSent =
                exchange.endedAt() - exchange.sentAt() <= LOSS_SLACK_MILLISECONDS && runs.isEmpty();
        return !disturbed && !(stopping && justSent);
    }

    /**
     * One line for each request that a relay handled by an older configuration than it should.
     *
     * @param acknowledged when the store had each version, in milliseconds
     * @param startedAt when each relay got ready, for each of its processes
     */
    public List<String> outdated(
            Collection<Exchange> exchanges,
            Map<Integer, Long> acknowledged,
            Map<Integer, NavigableSet<Long>> startedAt) {
        List<String> broken = new ArrayList<>();
        Map<String, Long> shown = new HashMap<>();
        List<Exchange> inOrder = new ArrayList<>(exchanges);
        inOrder.sort((one, other) -> Long.compare(one.endedAt(), other.endedAt()));
        for (Exchange exchange : inOrder) {
            if (exchange.version() == 0) {
                continue;
            }
            Long lifetime = startedAt.get(exchange.relay()).floor(exchange.sentAt());
            String key = exchange.relay() + "/" + lifetime + "/" + exchange.version();
            boolean unknownRoute = exchange.status() == UNKNOWN_ROUTE;
            if (exchange.status() == OK) {
                shown.putIfAbsent(key, exchange.endedAt());
            } else if (unknownRoute) {
                long firstShown = shown.getOrDefault(key, Long.MAX_VALUE / 2);
                if (exchange.sentAt() > firstShown + ROLLBACK_MILLISECONDS) {
                    broken.add(line("STEPPED_BACK", exchange, List.of()));
                } else if (isLate(exchange, acknowledged, lifetime)) {
                    broken.add(line("OUTDATED", exchange, List.of()));
                }
            }
        }
        return broken;
    }

    private boolean isLate(Exchange exchange, Map<Integer, Long> acknowledged, Long lifetime) {
        long change = acknowledged.get(exchange.version());
        int relay = exchange.relay();
        long from = change - LOOK_BACK_MILLISECONDS;
        long until = exchange.endedAt();
        boolean inTouch =
                !disturbances.any(Part.STORE, 0, from, until)
                        && !disturbances.any(Part.STORE_LINK, relay, from, until)
                        && !disturbances.any(Part.PROCESS, relay, change, until);
        boolean runsLongEnough = lifetime != null && lifetime < change;
        return inTouch && runsLongEnough && exchange.sentAt() > change + CONFIGURATION_MILLISECONDS;
    }

    /**
     * One line for each run at an upstream that should not have been called any more.
     *
     * @param leavingSince when the relay acknowledged that an upstream leaves, by its incarnation
     */
    public List<String> afterLeaving(Map<String, Long> leavingSince) {
        return ledger.all().stream()
                .filter(
                        run -> {
                            Long since = leavingSince.get(run.upstream());
                            return since != null
                                    && run.at() > since + DRAIN_MILLISECONDS
                                    && !disturbances.any(
                                            Part.PROCESS, run.relay(), since, run.at());
                        })
                .map(run -> "broken=CALLED_AFTER_LEAVING run=" + run)
                .toList();
    }

    private static String line(String promise, Exchange exchange, List<Run> runs) {
        return "broken=" + promise + " request=" + exchange + " runs=" + runs;
    }
}
