package org.damaskmoor.core.atmostonce.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.CallState;
import org.damaskmoor.core.atmostonce.IdempotencyKey;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;

class BoundedTargetLedgerDifferentialTest {
    private static final int STEPS = 200;
    private static final int REQUESTS = 6;
    private static final ByteString ANSWER = ByteString.copyFromUtf8("answer");
    private static final Incarnation OWN = new Incarnation(1);

    private final ReferenceLedger reference = new ReferenceLedger();
    private final TargetLedger ledger =
            TargetLedger.bounded(OWN, new LedgerLimits(1_000, 1_000_000, 10));

    @Property(tries = 3_000, seed = "20261207")
    void should_decide_as_the_reference_ledger_does_when_it_is_not_full(@ForAll long seed) {
        Random random = new Random(seed);
        BoundedTargetLedgerDifferentialTest fresh = new BoundedTargetLedgerDifferentialTest();
        long now = 0;
        for (int i = 0; i < STEPS; i++) {
            now += random.nextInt(3);
            fresh.step(random, now);
            fresh.compareStates();
        }
    }

    private void step(Random random, long now) {
        int sequence = random.nextInt(REQUESTS);
        RequestId id = id(sequence);
        long deadline = now + random.nextInt(20) - 2;
        long keepUntil = deadline + random.nextInt(10);
        switch (random.nextInt(9)) {
            case 0, 1 -> {
                CallKey key = key(sequence);
                assertThat(ledger.accept(key, OWN, deadline, keepUntil, now).result())
                        .isEqualTo(reference.accept(key, deadline, keepUntil, now));
            }
            case 2 -> assertThat(ledger.handOver(id, now)).isEqualTo(reference.handOver(id, now));
            case 3 ->
                    assertThat(ledger.returned(id))
                            .isEqualTo(
                                    reference.transition(
                                            id, CallState.HANDED_OVER, CallState.QUEUED));
            case 4 ->
                    assertThat(ledger.refuse(id))
                            .isEqualTo(
                                    reference.transition(id, CallState.QUEUED, CallState.REFUSED));
            case 5 -> endRun(random.nextBoolean(), id);
            case 6 ->
                    assertThat(ledger.seal(id, OWN, keepUntil, now))
                            .isEqualTo(reference.seal(id, keepUntil, now));
            case 7 -> assertThat(ledger.cancel(id)).isEqualTo(reference.cancel(id));
            default -> {
                ledger.expire(now);
                reference.expire(now);
            }
        }
    }

    private void endRun(boolean answered, RequestId id) {
        boolean ended = answered ? ledger.answered(id, ANSWER) : ledger.failed(id);
        CallState end = answered ? CallState.ANSWERED : CallState.FAILED;
        assertThat(ended).isEqualTo(reference.transition(id, CallState.HANDED_OVER, end));
    }

    private void compareStates() {
        assertThat(ledger.size()).isEqualTo(reference.size());
        for (int sequence = 0; sequence < REQUESTS; sequence++) {
            RequestId id = id(sequence);
            assertThat(ledger.state(id)).isEqualTo(reference.state(id));
            assertThat(ledger.answer(id)).isEqualTo(reference.answer(id, ANSWER));
        }
    }

    private static RequestId id(int sequence) {
        return new RequestId(new NodeId("entry"), new Incarnation(1), sequence);
    }

    /** Two thirds of the requests share one key. */
    private static CallKey key(int sequence) {
        IdempotencyKey shared =
                new IdempotencyKey(new ServiceName("besuch"), new CallerName("heim"), "turn");
        return new CallKey(
                id(sequence), sequence % 3 == 0 ? Optional.empty() : Optional.of(shared));
    }
}
