package org.damaskmoor.soak.verification;

import static java.util.stream.Collectors.groupingBy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damaskmoor.soak.verification.RunLedger.Arrival;

/**
 * Checks API keys, tenants and quotas. No fault excuses a violation. Holds no state besides its
 * inputs; confined to one thread.
 */
public final class TenantChecker {
    private static final int UNAUTHORIZED = 401;
    private static final int OVER_QUOTA = 429;
    private static final long QUOTA_WINDOW_MILLISECONDS = 5000;
    private static final double QUOTA_FACTOR = 1.1;
    private static final int QUOTA_SLACK = 20;

    /**
     * What the operator has configured.
     *
     * @param keys the keys that any version held
     * @param revocationMilliseconds time from the removal of a key until it must not be used
     * @param limited tenant whose callers send more than its quota
     * @param perSecond its quota and burst
     * @param regional tenant that is allowed in one region
     * @param regionalRelays the relays of this region
     */
    public record Rules(
            Map<String, KeyLifetime> keys,
            long revocationMilliseconds,
            String limited,
            double perSecond,
            String regional,
            Set<Integer> regionalRelays) {}

    private final Rules rules;
    private final Map<String, List<Arrival>> arrivals;

    public TenantChecker(Rules rules, RunLedger ledger) {
        this.rules = rules;
        this.arrivals = ledger.arrivals().stream().collect(groupingBy(Arrival::id));
    }

    /** Returns one line for each guarantee that a request violates. */
    public List<String> violations(Collection<TenantRequest> requests) {
        List<String> violations = new ArrayList<>();
        for (TenantRequest request : requests) {
            List<Arrival> runs = arrivals.getOrDefault(request.id(), List.of());
            KeyLifetime key = rules.keys().get(request.key());
            if (!runs.isEmpty()) {
                checkKey(request, key, runs, violations);
            }
            for (Arrival run : runs) {
                checkRun(request, key, run, violations);
            }
            boolean isLimited = key != null && key.tenant().equals(rules.limited());
            if (request.status() == OVER_QUOTA && !isLimited) {
                violations.add(line("LIMITED_WITHOUT_QUOTA", request, runs));
            }
        }
        checkQuota(violations);
        return violations;
    }

    private void checkKey(
            TenantRequest request, KeyLifetime key, List<Arrival> runs, List<String> violations) {
        if (request.status() == UNAUTHORIZED) {
            violations.add(line("RAN_UNAUTHORIZED", request, runs));
        }
        if (request.isPublic()) {
            return;
        }
        if (key == null) {
            violations.add(line("UNKNOWN_KEY_RAN", request, runs));
        } else if (request.sentAt() > key.removedAt() + rules.revocationMilliseconds()) {
            violations.add(
                    line("REVOKED_KEY_RAN", request, runs) + " removed_ms=" + key.removedAt());
        }
    }

    private void checkRun(
            TenantRequest request, KeyLifetime key, Arrival run, List<String> violations) {
        String tenant = key == null ? "" : key.tenant();
        boolean isAnonymous = run.tenant().isEmpty() && (request.isPublic() || key == null);
        if (!run.tenant().equals(tenant) && !isAnonymous) {
            violations.add(line("WRONG_TENANT", request, List.of(run)));
        }
        if (run.hasKey()) {
            violations.add(line("KEY_PASSED_ON", request, List.of(run)));
        }
        if (run.tenant().equals(rules.regional())
                && !rules.regionalRelays().contains(run.relay())) {
            violations.add(line("OUTSIDE_REGION", request, List.of(run)));
        }
    }

    /** Counts requests, not runs: a further attempt at another upstream is not charged. */
    private void checkQuota(List<String> violations) {
        Set<String> counted = new HashSet<>();
        List<Long> times =
                arrivals.values().stream()
                        .flatMap(List::stream)
                        .filter(run -> run.tenant().equals(rules.limited()))
                        .sorted((one, other) -> Long.compare(one.at(), other.at()))
                        .filter(run -> counted.add(run.id()))
                        .map(Arrival::at)
                        .toList();
        double quota = rules.perSecond() * QUOTA_WINDOW_MILLISECONDS / 1000 + rules.perSecond();
        SlidingWindow.excess(times, QUOTA_WINDOW_MILLISECONDS, quota * QUOTA_FACTOR + QUOTA_SLACK)
                .ifPresent(excess -> violations.add("broken=OVER_QUOTA " + excess));
    }

    private static String line(String guarantee, TenantRequest request, List<Arrival> runs) {
        return "broken=" + guarantee + " request=" + request + " runs=" + runs;
    }
}
