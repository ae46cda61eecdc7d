package org.damaskmoor.core.lease;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.schema.accounting.LeaseRecord;

/**
 * One candidate's side of a lease that lives in a row of the table service.
 *
 * <pre>{@code
 * switch on lease.next(now): Read, Write or Wait        // renews by itself
 * lease.beginGuardedWrite(now)                          // the row goes into the same transaction
 * }</pre>
 *
 * <p>No two clocks are compared. A holder counts its time from the instant that it sent the write
 * which was taken, less a margin; another candidate waits until it saw the row unchanged for the
 * whole time plus the margin. A holder that was paused may still believe in its lease for a moment,
 * so each write made in its name carries the lease's row, conditional on its tag: once another
 * holder took over, that write fails.
 *
 * <p>Invariants: the fencing number grows by one with each holder and never goes back; one read or
 * write is in flight at most; each write differs from all before it, so that a delayed one is never
 * taken for a later one; a write that was not known to be taken never counts as held. Not
 * thread-safe.
 */
public final class Lease {
    private final String candidate;
    private final long durationNanoseconds;
    private final long marginNanoseconds;

    private boolean inFlight;
    private boolean wanted = true;
    private boolean mustRead = true;
    private long nextReadNanoseconds;
    private LeaseStep.Write sent;
    private long attempts;
    private long sentNanoseconds;
    private LeaseRow row;
    private long seenSinceNanoseconds;
    private boolean held;
    private long heldSinceNanoseconds;

    /**
     * A candidate that does not know the row yet.
     *
     * @param candidate unique for each process start, for example node id and incarnation
     * @param durationNanoseconds time after which an unrenewed lease may be taken over
     * @param marginNanoseconds most that two clocks may run apart within that time
     */
    public Lease(String candidate, long durationNanoseconds, long marginNanoseconds) {
        this.candidate = Objects.requireNonNull(candidate, "candidate");
        if (candidate.isEmpty() || marginNanoseconds * 2 >= durationNanoseconds) {
            throw new IllegalArgumentException(
                    "A lease needs a candidate and a margin below half of its duration.");
        }
        this.durationNanoseconds = durationNanoseconds;
        this.marginNanoseconds = marginNanoseconds;
    }

    /** What to do now. */
    public LeaseStep next(long nowNanoseconds) {
        if (inFlight) {
            return new LeaseStep.Wait();
        }
        if (mustRead) {
            return readWhenDue(nowNanoseconds);
        }
        if (isMine()) {
            return keepOrRelease(nowNanoseconds);
        }
        if (wanted && isFree(nowNanoseconds)) {
            return write(nowNanoseconds, candidate, fencingNumberInForce() + 1);
        }
        mustRead = true;
        nextReadNanoseconds = nowNanoseconds + durationNanoseconds / 3;
        return new LeaseStep.Wait();
    }

    private LeaseStep readWhenDue(long nowNanoseconds) {
        if (nowNanoseconds - nextReadNanoseconds < 0) {
            return new LeaseStep.Wait();
        }
        inFlight = true;
        return new LeaseStep.Read();
    }

    private LeaseStep keepOrRelease(long nowNanoseconds) {
        if (!wanted) {
            return write(nowNanoseconds, "", row.lease().getFencingNumber());
        }
        boolean renewalDue = nowNanoseconds - heldSinceNanoseconds >= durationNanoseconds / 3;
        return held && !renewalDue ? new LeaseStep.Wait() : renewal(nowNanoseconds);
    }

    private LeaseStep.Write renewal(long nowNanoseconds) {
        return write(nowNanoseconds, candidate, row.lease().getFencingNumber());
    }

    private LeaseStep.Write write(long nowNanoseconds, String holder, long fencingNumber) {
        attempts++;
        LeaseRecord lease =
                LeaseRecord.newBuilder()
                        .setHolder(holder)
                        .setFencingNumber(fencingNumber)
                        .setDurationMilliseconds(
                                (int) TimeUnit.NANOSECONDS.toMillis(durationNanoseconds))
                        .setRenewal(attempts)
                        .build();
        sent = new LeaseStep.Write(Optional.ofNullable(row).map(LeaseRow::tag), lease);
        sentNanoseconds = nowNanoseconds;
        inFlight = true;
        return sent;
    }

    /** The row as it was read; empty: it does not stand yet. */
    public void onRead(Optional<LeaseRow> found, long nowNanoseconds) {
        inFlight = false;
        mustRead = false;
        LeaseRow current = found.orElse(null);
        if (!Objects.equals(tagOf(current), tagOf(row)) || row == null) {
            seenSinceNanoseconds = nowNanoseconds;
        }
        row = current;
        held = false;
        if (sent != null && current != null && current.lease().equals(sent.lease()) && isMine()) {
            hold();
        }
        sent = null;
    }

    /** The write that {@link #next} or {@link #beginFencedWrite} gave took effect. */
    public void onWritten(String newTag) {
        inFlight = false;
        row = new LeaseRow(newTag, sent.lease());
        held = false;
        seenSinceNanoseconds = sentNanoseconds;
        if (isMine()) {
            hold();
        }
        sent = null;
    }

    /** The write took no effect: the row was changed by another. */
    public void onConditionFailed(long nowNanoseconds) {
        inFlight = false;
        held = false;
        sent = null;
        mustRead = true;
        nextReadNanoseconds = nowNanoseconds;
    }

    /** The read failed, or the write's answer was lost: the row is read back. */
    public void onOutcomeUnknown(long nowNanoseconds) {
        inFlight = false;
        mustRead = true;
        nextReadNanoseconds = nowNanoseconds + durationNanoseconds / 10;
    }

    /**
     * Starts a write in the holder's name. The result has to go into the same transaction as the
     * data; it renews the lease too. Empty: not held now, or another call is in flight.
     */
    public Optional<LeaseStep.Write> beginFencedWrite(long nowNanoseconds) {
        boolean possible = isHeld(nowNanoseconds) && !inFlight && !mustRead;
        return possible ? Optional.of(renewal(nowNanoseconds)) : Optional.empty();
    }

    /** Gives the lease back with the next step, so that another need not wait. */
    public void release() {
        wanted = false;
    }

    /** Whether the candidate may believe that it holds the lease. */
    public boolean isHeld(long nowNanoseconds) {
        return held
                && nowNanoseconds - heldSinceNanoseconds < durationNanoseconds - marginNanoseconds;
    }

    /** The holder's fencing number; empty when the lease is not held. */
    public OptionalLong fencingNumber(long nowNanoseconds) {
        return isHeld(nowNanoseconds)
                ? OptionalLong.of(row.lease().getFencingNumber())
                : OptionalLong.empty();
    }

    private void hold() {
        held = true;
        heldSinceNanoseconds = sentNanoseconds;
    }

    private boolean isMine() {
        return row != null && row.lease().getHolder().equals(candidate);
    }

    private long fencingNumberInForce() {
        return row == null ? 0 : row.lease().getFencingNumber();
    }

    private boolean isFree(long nowNanoseconds) {
        if (row == null || row.lease().getHolder().isEmpty()) {
            return true;
        }
        long granted = TimeUnit.MILLISECONDS.toNanos(row.lease().getDurationMilliseconds());
        return nowNanoseconds - seenSinceNanoseconds >= granted + marginNanoseconds;
    }

    private static String tagOf(LeaseRow row) {
        return row == null ? null : row.tag();
    }
}
