package org.damaskmoor.soak.verification;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.damaskmoor.soak.verification.DisturbanceLog.Component;
import org.damaskmoor.soak.verification.RunLedger.Arrival;

/**
 * Checks that cold upstreams are spared and evacuated data centres are left alone. Holds no state
 * besides its inputs; confined to one thread.
 */
public final class PlacementChecker {
    private static final long COLD_WINDOW_MILLISECONDS = 1000;
    private static final double COLD_FACTOR = 1.5;
    private static final int COLD_SLACK = 8;

    /** Time from the store's acknowledgement until no request may run in the data centre. */
    private static final long EVACUATION_MILLISECONDS = 5000;

    /** A relay that was suspended or restarted learns of an evacuation within this time. */
    private static final long HEARTBEAT_MILLISECONDS = 1000;

    /** Disturbances of the store that ended up to this long before may have left calls silent. */
    private static final long LOOK_BACK_MILLISECONDS = 6000;

    private final DisturbanceLog disturbances;
    private final List<Arrival> arrivals;

    public PlacementChecker(DisturbanceLog disturbances, RunLedger ledger) {
        this.disturbances = disturbances;
        this.arrivals = ledger.arrivals();
    }

    /** Returns one line for each time in which a cold upstream got too many requests. */
    public List<String> coldViolations(Collection<ColdTime> coldTimes, double perSecond) {
        List<String> violations = new ArrayList<>();
        for (ColdTime cold : coldTimes) {
            List<Long> times =
                    arrivals.stream()
                            .filter(run -> run.upstream().equals(cold.upstream()))
                            .map(Arrival::at)
                            .filter(at -> at >= cold.from() && at < cold.until())
                            .sorted()
                            .toList();
            SlidingWindow.excess(
                            times, COLD_WINDOW_MILLISECONDS, perSecond * COLD_FACTOR + COLD_SLACK)
                    .ifPresent(
                            excess ->
                                    violations.add(
                                            "broken=OVER_COLD_LIMIT cold=" + cold + " " + excess));
        }
        return violations;
    }

    /** Returns one line for each run in a data centre that had to be left. */
    public List<String> evacuationViolations(Collection<Evacuation> evacuations) {
        List<String> violations = new ArrayList<>();
        for (Evacuation evacuation : evacuations) {
            long bindsAt = evacuation.from() + EVACUATION_MILLISECONDS;
            boolean hidden =
                    disturbances.overlaps(
                            Component.STORE,
                            0,
                            evacuation.from() - LOOK_BACK_MILLISECONDS,
                            bindsAt);
            arrivals.stream()
                    .filter(run -> !hidden)
                    .filter(run -> evacuation.relays().contains(run.relay()))
                    .filter(run -> run.at() > bindsAt && run.at() < evacuation.until())
                    .filter(run -> !isCatchingUp(run))
                    .forEach(
                            run ->
                                    violations.add(
                                            "broken=RAN_IN_EVACUATED evacuation="
                                                    + evacuation
                                                    + " run="
                                                    + run));
        }
        return violations;
    }

    private boolean isCatchingUp(Arrival run) {
        return disturbances.overlaps(
                Component.PROCESS, run.relay(), run.at() - HEARTBEAT_MILLISECONDS, run.at());
    }
}
