package org.damaskmoor.node.internal.entry;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.http.CallerReply;
import org.damaskmoor.node.internal.http.OutcomeReplies;
import org.damaskmoor.node.internal.time.Timers;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Dependencies and settings shared by all exchanges of an entry node. Confined to the caller event
 * loop.
 *
 * @param clock the monotonic clock, in nanoseconds
 * @param timers timers of the caller event loop
 * @param frameSender sends frames to targets
 * @param refusals records refusals
 * @param outcomes notified of the outcome of each request
 * @param onFinished called with each exchange that has finished
 * @param acceptanceTimeoutMilliseconds time without an acceptance after which a call is sealed
 */
record ExchangeContext(
        LongSupplier clock,
        Timers timers,
        TargetFrameSender frameSender,
        RefusalRecorder refusals,
        OutcomeListener outcomes,
        Consumer<EntryExchange> onFinished,
        long acceptanceTimeoutMilliseconds) {
    private static final int DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

    long now() {
        return clock.getAsLong();
    }

    /** Records the refusal, then replies "not run" to the caller. */
    void refuse(
            CallTemplate template,
            RefusalReason reason,
            int retryAfterMilliseconds,
            Consumer<CallerReply> reply) {
        Refusal refusal =
                new Refusal(
                        template.service(), template.caller(), reason, template.call().getWeight());
        int retryAfter =
                retryAfterMilliseconds > 0
                        ? retryAfterMilliseconds
                        : DEFAULT_RETRY_AFTER_MILLISECONDS;
        outcomes.onRefused(template, reason);
        refusals.record(
                refusal,
                refusalId ->
                        reply.accept(
                                OutcomeReplies.notRun(
                                        reason,
                                        RefusalDetails.of(reason, template.service()),
                                        refusalId,
                                        retryAfter)));
    }

    void recordAnswered(CallTemplate template, int status) {
        outcomes.onAnswered(template, status);
    }

    void recordUnknown(CallTemplate template, UnknownOutcomeStep step, NodeId peer) {
        outcomes.onUnknown(template, step, peer);
    }

    void finished(EntryExchange exchange) {
        onFinished.accept(exchange);
    }
}
