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
 * Takes refusals on the caller event loop, gives each its id {@code node/incarnation/sequence}, and
 * lets it be answered once accounting has it.
 *
 * <p>Confined to the caller event loop. Invariant: every refusal is answered once; one that finds
 * the ring full is answered at once and counted as a gap.
 */
final class RefusalIntake implements RefusalRecorder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /**
     * A refusal on its way to accounting.
     *
     * @param refusal what is counted
     * @param whenRecorded run on the accounting event loop when it may be answered
     */
    record Taken(Refusal refusal, Runnable whenRecorded) {}

    private final String idPrefix;
    private final LongSupplier epochMilliseconds;
    private final Executor callers;
    private final Predicate<Taken> ring;
    private final RefusalOverflow overflow;
    private long lastSequence;

    /**
     * An intake that has taken nothing.
     *
     * @param ring hands a refusal to the accounting event loop; false when it is full
     * @param overflow counts refusals that the ring did not take
     */
    RefusalIntake(
            NodeId self,
            Incarnation incarnation,
            LongSupplier epochMilliseconds,
            Executor callers,
            Predicate<Taken> ring,
            RefusalOverflow overflow) {
        this.idPrefix = self.value() + "/" + incarnation.value() + "/";
        this.epochMilliseconds = epochMilliseconds;
        this.callers = callers;
        this.ring = ring;
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
        Runnable answer = () -> callers.execute(() -> whenRecorded.accept(id));
        if (!ring.test(new Taken(counted, answer))) {
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=refusal-gap step=enqueue peer=accounting reason=ring-full");
            overflow.add(counted);
            whenRecorded.accept(id);
        }
    }
}
