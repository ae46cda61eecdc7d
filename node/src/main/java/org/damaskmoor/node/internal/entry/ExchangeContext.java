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
 * What all exchanges of an entry node share. Confined to the caller event loop.
 *
 * @param clock the monotonic clock, in nanoseconds
 * @param timers timers of the caller event loop
 * @param carrier sends frames to targets
 * @param refusals accounts for refusals
 * @param outcomes counts how requests ended
 * @param onFinished told when an exchange needs nothing more
 * @param acceptanceTimeoutMilliseconds silence after which a call is sealed
 */
record ExchangeContext(
        LongSupplier clock,
        Timers timers,
        TargetFrameSender carrier,
        RefusalRecorder refusals,
        OutcomeListener outcomes,
        Consumer<EntryExchange> onFinished,
        long acceptanceTimeoutMilliseconds) {
    private static final int DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

    long now() {
        return clock.getAsLong();
    }

    /** Accounts for a refusal, then tells the caller "not run". */
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
