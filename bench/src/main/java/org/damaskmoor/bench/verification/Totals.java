package org.damaskmoor.bench.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.damaskmoor.bench.verification.Violation.Kind;

/**
 * The totals of a run: one line for people and scripts, and a verdict.
 *
 * <p>Latencies count the measured stage only; all else counts warm-up and measured stage together.
 * Requests count each send; a send without any answer counts as unknown. Immutable.
 */
public final class Totals {
    /** Exit code when every promise held and could be checked. */
    public static final int HELD = 0;

    /** Exit code when a promise broke. */
    public static final int BROKEN = 1;

    /** Exit code when nothing broke but something could not be measured. */
    public static final int NOT_MEASURED = 3;

    private final List<CallRecord> all;
    private final List<CallRecord> measured;
    private final List<Violation> violations;
    private final OptionalLong refusalsAccounted;
    private final OptionalLong measuringBytes;

    /**
     * @param warmUp the records before the measured stage
     * @param measured the records of the measured stage
     * @param refusalsAccounted refusals found in the object store, empty when not measured
     * @param measuringBytes bytes spent on measuring load, empty when not measured
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

    /** Returns how many sends were refused. */
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

    /** Returns what routed lookups took longer than direct ones at a quantile, in milliseconds. */
    private double addedMilliseconds(double percentile) {
        Latencies routed = new Latencies(measured, line -> !line.direct() && !line.nonIdempotent());
        Latencies direct = new Latencies(measured, CallRecord::direct);
        return routed.milliseconds(percentile) - direct.milliseconds(percentile);
    }

    /** Returns every broken promise. */
    public List<Violation> violations() {
        return violations;
    }

    /** Returns the exit code that the run deserves. */
    public int exitCode() {
        boolean accounted = refusalsAccounted.orElse(refused(all)) == refused(all);
        if (!violations.isEmpty() || !accounted) {
            return BROKEN;
        }
        return refusalsAccounted.isPresent() ? HELD : NOT_MEASURED;
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
