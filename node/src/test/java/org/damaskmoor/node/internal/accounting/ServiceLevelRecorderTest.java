package org.damaskmoor.node.internal.accounting;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.accounting.CompletedRequest;
import org.damaskmoor.core.accounting.RequestOutcome;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.node.internal.entry.CallTemplate;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.ServiceLevelObjective;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.junit.jupiter.api.Test;

class ServiceLevelRecorderTest {
    private static final ServiceMatcher SERVICES =
            ServiceMatcher.of(
                    List.of(
                            VersionedConfiguration.newBuilder()
                                    .setVersion(1)
                                    .setService(
                                            ServiceConfiguration.newBuilder()
                                                    .setName("besuch")
                                                    .addHosts("besuch.example")
                                                    .addObjectives(objective("", 500))
                                                    .addObjectives(objective("lookup", 100)))
                                    .build()));

    private final List<CompletedRequest> ended = new ArrayList<>();

    @Test
    void should_apply_objective_of_kind_or_else_of_all_kinds() {
        assertThat(answered("lookup", 200, 100)).isEqualTo(RequestOutcome.ANSWERED_IN_TIME);
        assertThat(answered("lookup", 200, 101)).isEqualTo(RequestOutcome.LATE);
        assertThat(answered("booking", 200, 101)).isEqualTo(RequestOutcome.ANSWERED_IN_TIME);
        assertThat(answered("booking", 200, 501)).isEqualTo(RequestOutcome.LATE);
        assertThat(answered("lookup", 503, 1)).isEqualTo(RequestOutcome.FAILED);
    }

    @Test
    void should_count_refusal_only_when_service_could_have_served_request() {
        recorder(1).onRefused(template("lookup"), RefusalReason.NOT_ALLOWED);
        assertThat(ended).isEmpty();
        recorder(1).onRefused(template("lookup"), RefusalReason.QUEUE_FULL);
        assertThat(ended.get(0).end()).isEqualTo(RequestOutcome.REFUSED);
        assertThat(ended.get(0).weight()).isEqualTo(5);
    }

    private RequestOutcome answered(String kind, int status, long latencyMilliseconds) {
        recorder(latencyMilliseconds).onAnswered(template(kind), status);
        return ended.get(ended.size() - 1).end();
    }

    private ServiceLevelRecorder recorder(long milliseconds) {
        return new ServiceLevelRecorder(
                () -> SERVICES,
                () -> TimeUnit.MILLISECONDS.toNanos(milliseconds),
                () -> milliseconds,
                ended::add);
    }

    private static CallTemplate template(String kind) {
        return new CallTemplate(
                new ServiceName("besuch"),
                new CallerName("staff"),
                Call.newBuilder().setKind(kind).setWeight(5).build(),
                0,
                0);
    }

    private static ServiceLevelObjective objective(String kind, int milliseconds) {
        return ServiceLevelObjective.newBuilder()
                .setKind(kind)
                .setTargetPartsPerMillion(990_000)
                .setLatencyMilliseconds(milliseconds)
                .build();
    }
}
