package org.damaskmoor.core.atmostonce.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.damaskmoor.core.atmostonce.AttemptId;
import org.damaskmoor.core.atmostonce.EntryAction;
import org.damaskmoor.core.atmostonce.EntryCall;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;
import org.junit.jupiter.api.Test;

class AttemptTrackingEntryCallTest {
    private static final RequestId ID = new RequestId(new NodeId("entry"), new Incarnation(1), 1);
    private static final AttemptId FIRST = new AttemptId(ID, 1);
    private static final AttemptId SECOND = new AttemptId(ID, 2);
    private static final TargetId A = new TargetId(new NodeId("a"), new Incarnation(1));
    private static final TargetId B = new TargetId(new NodeId("b"), new Incarnation(1));

    @Test
    void should_send_another_attempt_when_the_target_sealed_the_first() {
        // given
        EntryCall call = sent(true);

        // when
        List<EntryAction> afterTimeout = call.acceptanceTimeout(FIRST);
        List<EntryAction> afterSeal = call.sealResult(FIRST, SealState.SEALED);

        // then
        assertThat(afterTimeout).containsExactly(new EntryAction.Seal(FIRST, A));
        assertThat(afterSeal).containsExactly(new EntryAction.Send(SECOND));
    }

    @Test
    void should_report_unknown_when_the_target_restarted() {
        // given
        EntryCall call = sent(true);
        call.connectionLost(FIRST);

        // when
        List<EntryAction> actions = call.sealResult(FIRST, SealState.OTHER_INCARNATION);

        // then
        assertThat(actions)
                .containsExactly(
                        new EntryAction.UnknownToCaller(
                                UnknownOutcomeStep.TARGET_RESTARTED, A.node()));
    }

    @Test
    void should_report_not_run_when_the_deadline_passes_before_any_attempt_may_run() {
        // given
        EntryCall call = sent(true);
        call.notSent(FIRST, RefusalReason.TARGET_UNREACHABLE);

        // when
        List<EntryAction> actions = call.deadline();

        // then
        assertThat(actions)
                .containsExactly(new EntryAction.RefuseCaller(RefusalReason.DEADLINE_PASSED));
        assertThat(call.sent(SECOND, B)).isFalse();
    }

    @Test
    void should_cancel_the_slower_attempt_when_a_hedge_is_answered() {
        // given
        EntryCall call = sent(false);
        call.hedge();
        call.sent(SECOND, B);

        // when
        List<EntryAction> actions = call.answered(SECOND);

        // then
        assertThat(actions)
                .containsExactly(
                        new EntryAction.AnswerCaller(SECOND), new EntryAction.Cancel(FIRST, A))
                .inOrder();
        assertThat(call.answered(FIRST)).isEmpty();
    }

    @Test
    void should_report_unknown_when_an_unanswered_attempt_may_run() {
        // given
        EntryCall call = sent(false);
        call.acceptanceTimeout(FIRST);
        call.sent(SECOND, B);
        call.sealTimeout(FIRST);
        call.refused(SECOND, RefusalReason.OVERLOADED);

        // when
        List<EntryAction> actions =
                call.noTarget(new AttemptId(ID, 3), RefusalReason.RETRY_BUDGET_EMPTY);

        // then
        assertThat(actions)
                .containsExactly(
                        new EntryAction.UnknownToCaller(UnknownOutcomeStep.SEAL, A.node()));
    }

    @Test
    void should_ignore_messages_when_they_belong_to_another_request() {
        // given
        EntryCall call = sent(true);
        RequestId other = new RequestId(new NodeId("entry"), new Incarnation(1), 2);

        // when
        List<EntryAction> actions = call.answered(new AttemptId(other, 1));

        // then
        assertThat(actions).isEmpty();
        assertThat(call.isFinished()).isFalse();
    }

    private static EntryCall sent(boolean nonIdempotent) {
        EntryCall call = EntryCall.of(ID, nonIdempotent);
        call.begin();
        call.sent(FIRST, A);
        return call;
    }
}
