package org.damaskmoor.node.internal.claims;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.claims.InMemoryTableService.Fault;
import org.damaskmoor.node.internal.eventloop.ManualEventLoop;
import org.damaskmoor.node.internal.target.ClaimService.ClaimResult;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.RequestId;
import org.junit.jupiter.api.Test;

class TableClaimServiceTest {
    private final InMemoryTableService tables = new InMemoryTableService();
    private final ManualEventLoop upstream = new ManualEventLoop();
    private final ManualEventLoop delayed = new ManualEventLoop();
    private final TableClaimService first = claims("first");
    private final TableClaimService second = claims("second");

    private TableClaimService claims(String node) {
        return new TableClaimService(
                new NodeId(node), new Incarnation(1), tables, () -> 1_000, upstream, delayed);
    }

    @Test
    void should_grant_key_to_one_request_until_released() {
        // given
        assertThat(claim(first, call(1, 1))).isEqualTo(ClaimResult.GRANTED);
        assertThat(claim(second, call(2, 1))).isEqualTo(ClaimResult.TAKEN);

        // when
        second.release(call(2, 1));
        assertThat(claim(second, call(3, 1))).isEqualTo(ClaimResult.TAKEN);
        first.release(call(1, 1));

        // then
        assertThat(claim(second, call(4, 1))).isEqualTo(ClaimResult.GRANTED);
    }

    @Test
    void should_grant_when_answer_or_write_was_lost_once() {
        for (Fault fault : Fault.values()) {
            tables.failNextWrite(fault);
            Call call = call(1, 1);
            assertThat(claim(first, call)).isEqualTo(ClaimResult.GRANTED);
            first.release(call);
            assertThat(tables.size()).isEqualTo(0);
        }
    }

    @Test
    void should_be_unavailable_while_table_is_down_and_release_when_it_is_back() {
        // given
        tables.setDown(true);
        assertThat(claim(first, call(1, 1))).isEqualTo(ClaimResult.UNAVAILABLE);
        tables.setDown(false);
        assertThat(claim(first, call(1, 1))).isEqualTo(ClaimResult.GRANTED);
        tables.setDown(true);
        first.release(call(1, 1));
        assertThat(tables.size()).isEqualTo(1);

        // when
        tables.setDown(false);
        delayed.run();

        // then
        assertThat(tables.size()).isEqualTo(0);
    }

    @Test
    void should_keep_claim_of_later_attempt_when_earlier_target_acts_late() {
        // given
        assertThat(claim(first, call(1, 1))).isEqualTo(ClaimResult.GRANTED);
        assertThat(claim(second, call(1, 2))).isEqualTo(ClaimResult.GRANTED);

        // when
        first.release(call(1, 1));
        assertThat(claim(first, call(1, 1))).isEqualTo(ClaimResult.TAKEN);

        // then
        assertThat(claim(first, call(2, 1))).isEqualTo(ClaimResult.TAKEN);
    }

    private ClaimResult claim(TableClaimService claims, Call call) {
        List<ClaimResult> results = new ArrayList<>();
        claims.claim(call, results::add);
        assertThat(results).isEmpty();
        upstream.run();
        assertThat(results).hasSize(1);
        return results.get(0);
    }

    private static Call call(long sequence, int attempt) {
        return Call.newBuilder()
                .setRequestId(
                        RequestId.newBuilder()
                                .setEntryNode("entry")
                                .setEntryIncarnation(1)
                                .setSequence(sequence))
                .setAttempt(attempt)
                .setService("besuch")
                .setCaller("staff")
                .setIdempotencyKey("key-1")
                .build();
    }
}
