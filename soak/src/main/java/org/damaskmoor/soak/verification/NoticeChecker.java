package org.damaskmoor.soak.verification;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.damaskmoor.soak.verification.DisturbanceLog.Component;
import org.damaskmoor.soak.verification.RunLedger.Run;

/**
 * Checks that relays which have passed on an answer with a notice of the upstream keep to it. Holds
 * no state besides its inputs; confined to one thread.
 */
public final class NoticeChecker {
    /** Time after the first notice from which a limit must be kept. */
    private static final long LIMIT_GRACE_MILLISECONDS = 4000;

    /** Length of the windows in which requests are counted. */
    private static final long WINDOW_MILLISECONDS = 4000;

    /** A relay counts from this long after it has passed on an answer. */
    private static final long TOLD_MILLISECONDS = 500;

    /** Time for which a leaving upstream may still get requests. */
    private static final long DRAIN_MILLISECONDS = 2500;

    private static final double LIMIT_FACTOR = 1.5;
    private static final int LIMIT_SLACK = 5;

    private final DisturbanceLog disturbances;
    private final RunLedger ledger;

    public NoticeChecker(DisturbanceLog disturbances, RunLedger ledger) {
        this.disturbances = disturbances;
        this.ledger = ledger;
    }

    /** A run of a request with the relay at which the request began and when it was sent. */
    private record EntryRun(int entry, long sentAt, Run run) {}

    /** Returns one line for each notice that relays did not keep to. */
    public List<String> violations(Collection<Exchange> exchanges, Collection<Notice> notices) {
        List<String> violations = new ArrayList<>();
        for (Notice notice : notices) {
            Map<Integer, Long> toldAt = toldAt(exchanges, notice);
            List<EntryRun> runs =
                    exchanges.stream().flatMap(exchange -> runs(exchange, notice)).toList();
            if (notice.limit().isPresent()) {
                checkLimit(notice, runs, toldAt, violations);
            } else {
                checkLeaving(notice, runs, toldAt, violations);
            }
        }
        return violations;
    }

    private Stream<EntryRun> runs(Exchange exchange, Notice notice) {
        return ledger.runs(exchange.id()).stream()
                .filter(
                        run ->
                                run.upstream().equals(notice.upstream())
                                        && run.at() >= notice.from()
                                        && run.at() <= notice.until())
                .map(run -> new EntryRun(exchange.relay(), exchange.sentAt(), run));
    }

    /**
     * When each relay had first passed on an answer with the notice. An answer that a relay made
     * itself, such as a 502, tells nothing of the upstream.
     */
    private Map<Integer, Long> toldAt(Collection<Exchange> exchanges, Notice notice) {
        Map<Integer, Long> toldAt = new HashMap<>();
        for (Exchange exchange : exchanges) {
            boolean passedOn =
                    exchange.end() == Exchange.End.ANSWERED
                            && exchange.own()
                            && exchange.stamp().startsWith(notice.upstream() + ".")
                            && runs(exchange, notice).findAny().isPresent();
            if (passedOn) {
                toldAt.merge(exchange.relay(), exchange.endedAt(), Math::min);
            }
        }
        return toldAt;
    }

    private void checkLimit(
            Notice notice,
            List<EntryRun> runs,
            Map<Integer, Long> toldAt,
            List<String> violations) {
        double allowed =
                LIMIT_FACTOR * WINDOW_MILLISECONDS / 1000 * notice.limit().getAsDouble()
                        + LIMIT_SLACK;
        List<Long> times =
                runs.stream()
                        .filter(run -> isBound(run, toldAt, TOLD_MILLISECONDS))
                        .map(run -> run.run().at())
                        .filter(at -> at >= notice.from() + LIMIT_GRACE_MILLISECONDS)
                        .sorted()
                        .toList();
        int first = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(first) > WINDOW_MILLISECONDS) {
                first++;
            }
            if (i - first + 1 > allowed) {
                violations.add("broken=OVER_LIMIT notice=" + notice + " at_ms=" + times.get(first));
                return;
            }
        }
    }

    private void checkLeaving(
            Notice notice,
            List<EntryRun> runs,
            Map<Integer, Long> toldAt,
            List<String> violations) {
        for (EntryRun run : runs) {
            boolean late =
                    isBound(run, toldAt, 0)
                            && run.sentAt() > toldAt.get(run.entry()) + DRAIN_MILLISECONDS;
            if (late) {
                violations.add("broken=CALLED_AFTER_NOTICE notice=" + notice + " run=" + run);
            }
        }
    }

    /** Whether the relay of a run was told before it, and undisturbed since. */
    private boolean isBound(EntryRun run, Map<Integer, Long> toldAt, long milliseconds) {
        Long told = toldAt.get(run.entry());
        return told != null
                && run.run().at() >= told + milliseconds
                && !disturbances.overlaps(Component.PROCESS, run.entry(), told, run.run().at())
                && !disturbances.overlaps(Component.LINKS, run.entry(), told, run.run().at());
    }
}
