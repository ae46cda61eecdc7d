package org.damaskmoor.report;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.accounting.CompletedRequest;
import org.damaskmoor.core.accounting.NamedObject;
import org.damaskmoor.core.accounting.ObjectWriteQueue;
import org.damaskmoor.core.accounting.RefusalGroup;
import org.damaskmoor.core.accounting.RefusalObjects;
import org.damaskmoor.core.accounting.RefusalSummary;
import org.damaskmoor.core.accounting.RequestFlusher;
import org.damaskmoor.core.accounting.RequestOutcome;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.report.BurnRateCalculator.Burn;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.ServiceLevelObjective;
import org.damaskmoor.schema.mesh.RefusalCount;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.junit.jupiter.api.Test;

class AccountingReaderTest {
    private static final long HOUR = 60;

    private final FakeObjectStore store = new FakeObjectStore();
    private final AccountingReader reader = new AccountingReader(store);

    @Test
    void should_count_once_when_owner_and_peer_flushed_the_same_batches() {
        // given: the peer flushed a part of the batches that the owner flushed as one group
        put(group(1, 3, 70, 30));
        put(group(1, 5, 70, 50));
        put(group(6, 6, 71, 7));

        // when
        RefusalSummary summary = reader.refusals(HOUR, 2 * HOUR);

        // then
        assertThat(summary.total()).isEqualTo(57);
        assertThat(summary.missing()).isEmpty();
        assertThat(reader.refusals(71, 72).total()).isEqualTo(7);
    }

    @Test
    void should_report_missing_batches() {
        // given
        put(group(1, 3, 70, 30));
        put(group(6, 6, 71, 7));

        // when
        RefusalSummary summary = reader.refusals(HOUR, 2 * HOUR);

        // then
        assertThat(summary.missing())
                .containsExactly(new RefusalSummary.MissingBatches("node-a", 7, 4, 5));
    }

    @Test
    void should_open_a_ticket_when_only_the_slow_windows_burn_the_budget() {
        // given: 20 of 100 requests refused for the last five minutes, none before
        flushRequests(200, 260);

        // when
        Burn burn = BurnRateCalculator.calculate(services(), reader.requests(0, 300), 259).get(0);

        // then: an allowed share of one in a hundred
        assertThat(burn.rates().get(0).weight()).isEqualTo(500);
        assertThat(burn.rates().get(0).burnRate()).isWithin(1e-9).of(20);
        assertThat(burn.rates().get(1).weight()).isEqualTo(6_000);
        assertThat(burn.rates().get(1).burnRate()).isWithin(1e-9).of(100 / 60.0);
        assertThat(burn.p99Milliseconds()).isEqualTo(20);
        assertThat(burn.alert()).isEqualTo("ticket");
    }

    private static List<ServiceConfiguration> services() {
        ServiceLevelObjective objective =
                ServiceLevelObjective.newBuilder()
                        .setTargetPartsPerMillion(990_000)
                        .setLatencyMilliseconds(50)
                        .build();
        return List.of(
                ServiceConfiguration.newBuilder()
                        .setName("besuch")
                        .addObjectives(objective)
                        .build());
    }

    private void flushRequests(long fromMinute, long toMinute) {
        RequestFlusher flusher =
                new RequestFlusher(
                        new NodeId("node-a"),
                        new Incarnation(7),
                        new ObjectWriteQueue(1, new SplittableRandom(1)),
                        TimeUnit.MINUTES.toNanos(1),
                        1_000,
                        new SplittableRandom(1),
                        0);
        for (long minute = fromMinute; minute < toMinute; minute++) {
            for (int i = 0; i < 100; i++) {
                boolean refused = minute >= toMinute - 5 && i < 20;
                flusher.record(request(minute, refused));
            }
        }
        flusher.flush();
        for (var next = flusher.next(0); next.isPresent(); next = flusher.next(0)) {
            store.objects.put(next.get().name(), next.get().content());
            flusher.onWritten();
        }
    }

    private static CompletedRequest request(long minute, boolean refused) {
        return new CompletedRequest(
                new ServiceName("besuch"),
                "lookup",
                minute,
                1,
                refused ? RequestOutcome.REFUSED : RequestOutcome.ANSWERED_IN_TIME,
                12);
    }

    private void put(RefusalGroup group) {
        for (NamedObject object : RefusalObjects.of(group)) {
            store.objects.put(object.name(), object.content());
        }
    }

    private static RefusalGroup group(long first, long last, long minute, long count) {
        RefusalCount refusals =
                RefusalCount.newBuilder()
                        .setService("besuch")
                        .setCaller("clinic")
                        .setReason(RefusalReason.QUEUE_FULL)
                        .setEpochMinute(minute)
                        .setCount(count)
                        .setWeight(count)
                        .build();
        return new RefusalGroup(
                new NodeId("node-a"),
                new Incarnation(7),
                first,
                last,
                List.of(refusals),
                List.of(),
                0);
    }
}
