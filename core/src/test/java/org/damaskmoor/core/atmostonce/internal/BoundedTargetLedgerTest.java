package org.damaskmoor.core.atmostonce.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.damaskmoor.core.atmostonce.Acceptance;
import org.damaskmoor.core.atmostonce.AcceptanceResult;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.CallState;
import org.damaskmoor.core.atmostonce.CancelResult;
import org.damaskmoor.core.atmostonce.IdempotencyKey;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.SealState;
import org.junit.jupiter.api.Test;

class BoundedTargetLedgerTest {
    private static final Incarnation OWN = new Incarnation(7);
    private static final IdempotencyKey KEY =
            new IdempotencyKey(new ServiceName("besuch"), new CallerName("heim"), "turn");
    private static final ByteString TEN_BYTES = ByteString.copyFromUtf8("0123456789");

    private final TargetLedger ledger = TargetLedger.bounded(OWN, new LedgerLimits(2, 15, 1));

    @Test
    void should_refuse_a_later_copy_when_the_ledger_was_full_for_the_first() {
        // given
        accept(id("entry", 1), Optional.empty());
        accept(id("entry", 2), Optional.empty());
        AcceptanceResult full =
                ledger.accept(CallKey.of(id("entry", 3)), OWN, 190, 200, 0).result();
        ledger.refuse(id("entry", 1));
        ledger.expire(100);

        // when
        AcceptanceResult copy =
                ledger.accept(CallKey.of(id("entry", 3)), OWN, 190, 200, 101).result();
        AcceptanceResult next =
                ledger.accept(CallKey.of(id("entry", 4)), OWN, 190, 200, 101).result();

        // then
        assertThat(full).isEqualTo(AcceptanceResult.FULL);
        assertThat(copy).isEqualTo(AcceptanceResult.FULL);
        assertThat(next).isEqualTo(AcceptanceResult.ACCEPTED);
    }

    @Test
    void should_refuse_every_id_when_too_many_entry_incarnations_are_fenced() {
        // given
        accept(id("entry", 1), Optional.empty());
        accept(id("entry", 2), Optional.empty());
        ledger.seal(id("second entry", 1), OWN, 200, 0);
        ledger.seal(id("third entry", 1), OWN, 200, 0);
        ledger.refuse(id("entry", 1));
        ledger.expire(100);

        // when
        AcceptanceResult sealed = accept(id("third entry", 1), Optional.empty()).result();

        // then
        assertThat(sealed).isEqualTo(AcceptanceResult.FULL);
    }

    @Test
    void should_report_unknown_when_a_resend_joins_a_failed_run_in_a_full_ledger() {
        // given
        accept(id("entry", 1), Optional.of(KEY));
        ledger.handOver(id("entry", 1), 0);
        ledger.failed(id("entry", 1));
        accept(id("entry", 2), Optional.empty());

        // when
        Acceptance resend = accept(id("entry", 3), Optional.of(KEY));

        // then
        assertThat(resend.result()).isEqualTo(AcceptanceResult.JOINED);
        assertThat(resend.state()).isEqualTo(CallState.FAILED);
    }

    @Test
    void should_run_a_resend_when_the_first_request_was_sealed() {
        // given
        accept(id("entry", 1), Optional.of(KEY));
        ledger.seal(id("entry", 1), OWN, 100, 0);

        // when
        Acceptance resend = accept(id("entry", 2), Optional.of(KEY));

        // then
        assertThat(resend.result()).isEqualTo(AcceptanceResult.ACCEPTED);
    }

    @Test
    void should_not_seal_a_resend_when_its_first_run_is_queued() {
        // given
        accept(id("entry", 1), Optional.of(KEY));
        accept(id("entry", 2), Optional.of(KEY));

        // when
        SealState state = ledger.seal(id("entry", 2), OWN, 100, 0);

        // then
        assertThat(state).isEqualTo(SealState.HANDED_OVER);
    }

    @Test
    void should_continue_the_run_when_the_first_caller_cancels_and_a_resend_waits() {
        // given
        accept(id("entry", 1), Optional.of(KEY));
        accept(id("entry", 2), Optional.of(KEY));

        // when
        CancelResult result = ledger.cancel(id("entry", 1));

        // then
        assertThat(result).isEqualTo(CancelResult.STILL_WANTED);
        assertThat(ledger.requestsSharingRun(id("entry", 1)))
                .containsExactly(id("entry", 1), id("entry", 2))
                .inOrder();
    }

    @Test
    void should_evict_the_oldest_answer_but_keep_its_entry_when_the_byte_limit_is_reached() {
        // given
        run(id("entry", 1));
        run(id("entry", 2));

        // when
        Acceptance copy = accept(id("entry", 1), Optional.empty());

        // then
        assertThat(copy.state()).isEqualTo(CallState.ANSWERED);
        assertThat(copy.answer()).isEmpty();
        assertThat(ledger.answer(id("entry", 2))).hasValue(TEN_BYTES);
    }

    @Test
    void should_keep_a_running_call_when_its_keep_until_time_has_passed() {
        // given
        accept(id("entry", 1), Optional.empty());
        ledger.handOver(id("entry", 1), 0);

        // when
        ledger.expire(1_000);
        boolean running = ledger.state(id("entry", 1)).isPresent();
        ledger.answered(id("entry", 1), TEN_BYTES);
        ledger.expire(1_001);

        // then
        assertThat(running).isTrue();
        assertThat(ledger.size()).isEqualTo(0);
    }

    private void run(RequestId id) {
        accept(id, Optional.empty());
        ledger.handOver(id, 0);
        ledger.answered(id, TEN_BYTES);
    }

    private Acceptance accept(RequestId id, Optional<IdempotencyKey> key) {
        return ledger.accept(new CallKey(id, key), OWN, 90, 100, 0);
    }

    private static RequestId id(String entry, long sequence) {
        return new RequestId(new NodeId(entry), new Incarnation(1), sequence);
    }
}
