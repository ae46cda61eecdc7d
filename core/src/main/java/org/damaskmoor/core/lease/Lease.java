package org.damaskmoor.core.lease;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.schema.accounting.LeaseRecord;

/**
 * One candidate's state of a lease that is stored in a row of the table service.
 *
 * <pre>{@code
 * switch on lease.next(now): Read, Write or Wait        // renews when due
 * lease.beginFencedWrite(now)                           // add the row to the transaction
 * }</pre>
 *
 * <p>Clocks of different processes are never compared. A holder's lease runs from the time at which
 * it sent the successful write, for the duration less a margin; another candidate waits until it
 * has seen the row unchanged for the duration plus the margin. A holder that was paused may briefly
 * act on an expired lease, so each write on its behalf includes the lease row, conditional on its
 * tag, and fails once another holder has taken over.
 *
 * <p>Invariants: the fencing number increases by one with each holder and never decreases; at most
 * one read or write is in flight; each write differs from all earlier ones, so that a delayed one
 * is never mistaken for a later one; the lease counts as held only after a write that is known to
 * have taken effect. Not thread-safe.
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
    private long unchangedSinceNanoseconds;
    private boolean held;
    private long heldSinceNanoseconds;

    /**
     * Creates a candidate that has not read the row yet.
     *
     * @param candidate unique for each process start, for example node id and incarnation
     * @param durationNanoseconds time after which an unrenewed lease may be taken over
     * @param marginNanoseconds maximum drift between two clocks within that time
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

    /** Returns the next step to perform. */
    public LeaseStep next(long nowNanoseconds) {
        if (inFlight) {
            return new LeaseStep.Wait();
        }
        if (mustRead) {
            return readWhenDue(nowNanoseconds);
        }
        if (isOwnLease()) {
            return renewOrRelease(nowNanoseconds);
        }
        if (wanted && isFree(nowNanoseconds)) {
            return write(nowNanoseconds, candidate, currentFencingNumber() + 1);
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

    private LeaseStep renewOrRelease(long nowNanoseconds) {
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

    /** The row was read; empty: it does not exist yet. */
    public void onRead(Optional<LeaseRow> found, long nowNanoseconds) {
        inFlight = false;
        mustRead = false;
        LeaseRow current = found.orElse(null);
        if (!Objects.equals(tagOf(current), tagOf(row)) || row == null) {
            unchangedSinceNanoseconds = nowNanoseconds;
        }
        row = current;
        held = false;
        if (sent != null
                && current != null
                && current.lease().equals(sent.lease())
                && isOwnLease()) {
            markHeld();
        }
        sent = null;
    }

    /** The write returned by {@link #next} or {@link #beginFencedWrite} took effect. */
    public void onWritten(String newTag) {
        inFlight = false;
        row = new LeaseRow(newTag, sent.lease());
        held = false;
        unchangedSinceNanoseconds = sentNanoseconds;
        if (isOwnLease()) {
            markHeld();
        }
        sent = null;
    }

    /** The write had no effect, because another candidate changed the row. */
    public void onConditionFailed(long nowNanoseconds) {
        inFlight = false;
        held = false;
        sent = null;
        mustRead = true;
        nextReadNanoseconds = nowNanoseconds;
    }

    /** The read failed, or the write's answer was lost: the row is read again. */
    public void onOutcomeUnknown(long nowNanoseconds) {
        inFlight = false;
        mustRead = true;
        nextReadNanoseconds = nowNanoseconds + durationNanoseconds / 10;
    }

    /**
     * Starts a write on the holder's behalf. The returned write must be part of the same
     * transaction as the data; it also renews the lease. Empty: the lease is not held, or another
     * call is in flight.
     */
    public Optional<LeaseStep.Write> beginFencedWrite(long nowNanoseconds) {
        boolean possible = isHeld(nowNanoseconds) && !inFlight && !mustRead;
        return possible ? Optional.of(renewal(nowNanoseconds)) : Optional.empty();
    }

    /**
     * Releases the lease with the next step, so that another candidate need not wait for its
     * expiry.
     */
    public void release() {
        wanted = false;
    }

    /** Returns whether the candidate may act as the holder. */
    public boolean isHeld(long nowNanoseconds) {
        return held
                && nowNanoseconds - heldSinceNanoseconds < durationNanoseconds - marginNanoseconds;
    }

    /** Returns the holder's fencing number; empty if the lease is not held. */
    public OptionalLong fencingNumber(long nowNanoseconds) {
        return isHeld(nowNanoseconds)
                ? OptionalLong.of(row.lease().getFencingNumber())
                : OptionalLong.empty();
    }

    private void markHeld() {
        held = true;
        heldSinceNanoseconds = sentNanoseconds;
    }

    private boolean isOwnLease() {
        return row != null && row.lease().getHolder().equals(candidate);
    }

    private long currentFencingNumber() {
        return row == null ? 0 : row.lease().getFencingNumber();
    }

    private boolean isFree(long nowNanoseconds) {
        if (row == null || row.lease().getHolder().isEmpty()) {
            return true;
        }
        long granted = TimeUnit.MILLISECONDS.toNanos(row.lease().getDurationMilliseconds());
        return nowNanoseconds - unchangedSinceNanoseconds >= granted + marginNanoseconds;
    }

    private static String tagOf(LeaseRow row) {
        return row == null ? null : row.tag();
    }
}
