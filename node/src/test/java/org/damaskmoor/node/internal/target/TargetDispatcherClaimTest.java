package org.damaskmoor.node.internal.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damaskmoor.core.admission.AdmissionController;
import org.damaskmoor.core.admission.AdmissionOptions;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.node.internal.target.ClaimService.ClaimResult;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.MeshFrame.BodyCase;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.RequestId;
import org.damaskmoor.schema.mesh.SealRequest;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.junit.jupiter.api.Test;

class TargetDispatcherClaimTest {
    private static final long NOW_MILLISECONDS = 1_000_000;
    private static final int DEADLINE_MILLISECONDS = 2_000;
    private static final RequestId ID =
            RequestId.newBuilder()
                    .setEntryNode("entry")
                    .setEntryIncarnation(1)
                    .setSequence(1)
                    .build();

    private final List<MeshFrame> replies = new ArrayList<>();
    private final List<Consumer<ClaimResult>> pendingClaims = new ArrayList<>();
    private final List<Call> released = new ArrayList<>();
    private final List<Consumer<UpstreamOutcome>> runningCalls = new ArrayList<>();
    private final TargetDispatcher dispatcher = dispatcher();

    private TargetDispatcher dispatcher() {
        UpstreamRegistration upstream = new UpstreamRegistration(DEADLINE_MILLISECONDS);
        upstream.announce(
                new Announcement(
                        new ServiceName("besuch"),
                        new UpstreamAddress("127.0.0.1", 1),
                        10,
                        10,
                        UpstreamState.SERVING),
                0);
        AdmissionController admission =
                AdmissionController.create(new AdmissionOptions(0, 10, Map.of()));
        admission.onUpstreamState(UpstreamState.SERVING, 10, 10);
        return new TargetDispatcher(
                TargetLedger.bounded(new Incarnation(1), new LedgerLimits(100, 1_000, 100)),
                admission,
                upstream,
                (address, call, remaining, whenDone) -> runningCalls.add(whenDone),
                new RecordingClaims(),
                new CrashDetector(new NodeId("b"), new Incarnation(1), () -> 0, record -> {}),
                new TargetTiming(() -> 0, () -> NOW_MILLISECONDS, 0),
                (peer, report) -> report);
    }

    private final class RecordingClaims implements ClaimService {
        @Override
        public void claim(Call call, Consumer<ClaimResult> whenDone) {
            pendingClaims.add(whenDone);
        }

        @Override
        public void release(Call call) {
            released.add(call);
        }
    }

    @Test
    void should_answer_unknown_without_running_when_earlier_request_holds_key() {
        sendCall();
        pendingClaims.get(0).accept(ClaimResult.TAKEN);
        assertThat(lastReply().getBodyCase()).isEqualTo(BodyCase.FAILED);
        assertThat(runningCalls).isEmpty();
        assertThat(released).isEmpty();
    }

    @Test
    void should_refuse_and_release_when_claim_is_unavailable() {
        sendCall();
        pendingClaims.get(0).accept(ClaimResult.UNAVAILABLE);
        assertThat(lastReply().getRefused().getReason()).isEqualTo(RefusalReason.CLAIM_UNAVAILABLE);
        assertThat(runningCalls).isEmpty();
        assertThat(released).hasSize(1);
    }

    @Test
    void should_release_only_when_upstream_did_not_run_call() {
        for (boolean ran : new boolean[] {true, false}) {
            // given
            TargetDispatcherClaimTest other = new TargetDispatcherClaimTest();
            other.sendCall();
            other.pendingClaims.get(0).accept(ClaimResult.GRANTED);

            // when
            other.runningCalls
                    .get(0)
                    .accept(
                            ran
                                    ? new UpstreamOutcome.Failed("connection reset", true)
                                    : new UpstreamOutcome.NotRun(true, false));

            // then
            assertThat(other.released).hasSize(ran ? 0 : 1);
        }
    }

    @Test
    void should_release_after_claim_is_answered_when_call_was_sealed_before() {
        // given
        sendCall();
        dispatcher.onFrame(
                link(),
                MeshFrame.newBuilder()
                        .setSeal(
                                SealRequest.newBuilder()
                                        .setRequestId(ID)
                                        .setAttempt(1)
                                        .setTargetIncarnation(1)
                                        .setDeadlineEpochMilliseconds(
                                                NOW_MILLISECONDS + DEADLINE_MILLISECONDS))
                        .build());
        assertThat(released).isEmpty();

        // when
        pendingClaims.get(0).accept(ClaimResult.GRANTED);

        // then
        assertThat(released).hasSize(1);
        assertThat(runningCalls).isEmpty();
    }

    private void sendCall() {
        dispatcher.onFrame(
                link(),
                MeshFrame.newBuilder()
                        .setCall(
                                Call.newBuilder()
                                        .setRequestId(ID)
                                        .setAttempt(1)
                                        .setTargetIncarnation(1)
                                        .setService("besuch")
                                        .setCaller("staff")
                                        .setIdempotencyKey("key-1")
                                        .setNonIdempotent(true)
                                        .setClaim(true)
                                        .setDeadlineMilliseconds(DEADLINE_MILLISECONDS)
                                        .setDeadlineEpochMilliseconds(
                                                NOW_MILLISECONDS + DEADLINE_MILLISECONDS))
                        .build());
    }

    private MeshFrame lastReply() {
        return replies.get(replies.size() - 1);
    }

    private MeshLink link() {
        return new MeshLink() {
            @Override
            public NodeId peer() {
                return new NodeId("entry");
            }

            @Override
            public Incarnation incarnation() {
                return new Incarnation(1);
            }

            @Override
            public boolean send(MeshFrame frame) {
                return replies.add(frame);
            }
        };
    }
}
