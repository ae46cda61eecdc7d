package org.damaskmoor.bench.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.damaskmoor.bench.verification.Violation.Kind;

/**
 * The totals of a run, as one line for humans and scripts and as an exit code.
 *
 * <p>Latencies cover the measured stage only; all other values cover warm-up and measured stage.
 * Every send counts as a request; a send without an answer counts as unknown. Immutable.
 */
public final class Totals {
    /** Exit code when all guarantees were checked and held. */
    public static final int PASSED = 0;

    /** Exit code when a guarantee was violated. */
    public static final int VIOLATED = 1;

    /** Exit code when no violation was found but some value could not be measured. */
    public static final int NOT_MEASURED = 3;

    private final List<CallRecord> all;
    private final List<CallRecord> measured;
    private final List<Violation> violations;
    private final OptionalLong refusalsAccounted;
    private final OptionalLong measuringBytes;

    /**
     * @param warmUp the records before the measured stage
     * @param measured the records of the measured stage
     * @param refusalsAccounted refusals found in the object store; empty if not measured
     * @param measuringBytes bytes spent on load measurement; empty if not measured
     */
    public Totals(
            List<CallRecord> warmUp,
            List<CallRecord> measured,
            List<Violation> violations,
            OptionalLong refusalsAccounted,
            OptionalLong measuringBytes) {
        this.all = new ArrayList<>(warmUp);
        this.all.addAll(measured);
        this.measured = List.copyOf(measured);
        this.violations = List.copyOf(violations);
        this.refusalsAccounted = refusalsAccounted;
        this.measuringBytes = measuringBytes;
    }

    /** Returns the number of refused sends. */
    public static long refused(List<CallRecord> records) {
        return count(records, Outcome.REFUSED);
    }

    /** Returns the line of totals. */
    public String line() {
        long answered = count(all, Outcome.ANSWERED);
        long refused = refused(all);
        long unknown = count(all, Outcome.UNKNOWN) + count(all, Outcome.TRANSPORT_ERROR);
        Latencies routed = new Latencies(measured, line -> !line.direct());
        return String.format(
                Locale.ROOT,
                "requests=%d answered=%d refused=%d unknown=%d refusals_accounted=%s ran_twice=%d"
                        + " false_not_run=%d crossed_answers=%d p50_ms=%.2f p99_ms=%.2f"
                        + " added_p99_ms=%.2f measuring_bytes=%s",
                answered + refused + unknown,
                answered,
                refused,
                unknown,
                text(refusalsAccounted),
                count(Kind.RAN_TWICE),
                count(Kind.FALSE_NOT_RUN),
                count(Kind.CROSSED_ANSWER),
                routed.milliseconds(50),
                routed.milliseconds(99),
                addedMilliseconds(99),
                text(measuringBytes));
    }

    /** Returns the latency that routing adds to lookups at a percentile, in milliseconds. */
    private double addedMilliseconds(double percentile) {
        Latencies routed = new Latencies(measured, line -> !line.direct() && !line.nonIdempotent());
        Latencies direct = new Latencies(measured, CallRecord::direct);
        return routed.milliseconds(percentile) - direct.milliseconds(percentile);
    }

    /** Returns every violation. */
    public List<Violation> violations() {
        return violations;
    }

    /** Returns the exit code for this run. */
    public int exitCode() {
        boolean accounted = refusalsAccounted.orElse(refused(all)) == refused(all);
        if (!violations.isEmpty() || !accounted) {
            return VIOLATED;
        }
        return refusalsAccounted.isPresent() ? PASSED : NOT_MEASURED;
    }

    private long count(Kind kind) {
        return violations.stream().filter(violation -> violation.kind() == kind).count();
    }

    private static long count(List<CallRecord> records, Outcome outcome) {
        return records.stream().filter(line -> !line.direct() && line.outcome() == outcome).count();
    }

    private static String text(OptionalLong value) {
        return value.isPresent() ? String.valueOf(value.getAsLong()) : "not-measured";
    }
}
