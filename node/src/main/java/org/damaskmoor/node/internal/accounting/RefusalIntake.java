package org.damaskmoor.node.internal.accounting;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.damaskmoor.core.accounting.Refusal;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.entry.RefusalRecorder;

/**
 * Receives refusals on the caller event loop, gives each the id {@code node/incarnation/sequence},
 * and calls back once accounting has recorded it.
 *
 * <p>Confined to the caller event loop. Invariant: there is one callback per refusal; if the
 * mailbox is full, the callback runs at once and the refusal is counted as a gap.
 */
final class RefusalIntake implements RefusalRecorder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /**
     * A refusal on its way to accounting.
     *
     * @param refusal the refusal
     * @param whenRecorded run on the accounting event loop once the refusal is recorded
     */
    record PendingRefusal(Refusal refusal, Runnable whenRecorded) {}

    private final String idPrefix;
    private final LongSupplier epochMilliseconds;
    private final Executor callers;
    private final Predicate<PendingRefusal> mailbox;
    private final RefusalOverflow overflow;
    private long lastSequence;

    /**
     * Creates an intake.
     *
     * @param mailbox passes a refusal to the accounting event loop; returns false if it is full
     * @param overflow counts refusals that the mailbox did not accept
     */
    RefusalIntake(
            NodeId self,
            Incarnation incarnation,
            LongSupplier epochMilliseconds,
            Executor callers,
            Predicate<PendingRefusal> mailbox,
            RefusalOverflow overflow) {
        this.idPrefix = self.value() + "/" + incarnation.value() + "/";
        this.epochMilliseconds = epochMilliseconds;
        this.callers = callers;
        this.mailbox = mailbox;
        this.overflow = overflow;
    }

    @Override
    public void record(
            org.damaskmoor.node.internal.entry.Refusal refusal, Consumer<String> whenRecorded) {
        String id = idPrefix + ++lastSequence;
        Refusal counted =
                new Refusal(
                        refusal.service(),
                        refusal.caller(),
                        refusal.reason(),
                        TimeUnit.MILLISECONDS.toMinutes(epochMilliseconds.getAsLong()),
                        refusal.weight());
        Runnable callback = () -> callers.execute(() -> whenRecorded.accept(id));
        if (!mailbox.test(new PendingRefusal(counted, callback))) {
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=refusal-gap step=enqueue peer=accounting reason=ring-full");
            overflow.add(counted);
            whenRecorded.accept(id);
        }
    }
}
