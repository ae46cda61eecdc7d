package org.damaskmoor.relay.internal.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.placement.RouteStatistics;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.core.routetable.ColdStart;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.routetable.ServiceDefinition;
import org.damaskmoor.core.routetable.WeightedService;
import org.damaskmoor.core.tenancy.TenantTable;
import org.damaskmoor.relay.fixture.ManualTimers;
import org.damaskmoor.relay.fixture.SilentLog;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.LeavingUpstreams;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.junit.jupiter.api.Test;

/** Which calls leave the data centre of their entry. */
class EntryEgressTest {
    private static final ServiceName BOOKS = new ServiceName("books");
    private static final int UNAVAILABLE = 503;
    private static final int RETRY_AFTER = 400;
    private static final TargetLoad FULL =
            TargetLoad.newBuilder()
                    .setRunning(9)
                    .setWaiting(60)
                    .setLimit(9)
                    .setState(UpstreamState.SERVING)
                    .build();
    private static final TargetLoad IDLE =
            TargetLoad.newBuilder().setLimit(9).setState(UpstreamState.SERVING).build();

    private final List<SentCall> sent = new ArrayList<>();
    private final List<CallerReply> replies = new ArrayList<>();
    private final ManualTimers timers = new ManualTimers();
    private final RelayMetrics metrics = new RelayMetrics();
    private FleetDirectory fleet;
    private EntryRequestHandler entry;

    private void start(boolean controlled, FleetMember... members) {
        SilentLog log = new SilentLog();
        Random random = new Random(1);
        fleet =
                new FleetDirectory(
                        new NodeId("self"),
                        new RegionName("home"),
                        new DataCentreName("home-1"),
                        (node, address) -> new RecordingLink(node, sent),
                        timers,
                        log,
                        new LeavingUpstreams(log));
        fleet.merge(List.of(members));
        entry =
                new EntryRequestHandler(
                        new NodeId("self"),
                        new Incarnation(1),
                        new EntryContext(
                                new ServiceName("other"),
                                fleet,
                                new TargetChooser(random),
                                new RouteStatistics(),
                                new RetryBudgets(1, 10, 10_000),
                                new EntryEgress(controlled, fleet, timers, log, metrics),
                                timers,
                                random,
                                log,
                                metrics),
                        new NoQuarantine(),
                        version -> true,
                        false,
                        new FakeQuotas());
        Route route =
                new Route(
                        "read",
                        "shop.example",
                        "/read/",
                        true,
                        2000,
                        800,
                        1,
                        List.of(new WeightedService(BOOKS, 1)),
                        2,
                        false,
                        Set.of());
        entry.applyRoutes(
                new RouteTable(
                        1,
                        List.of(route),
                        List.of(new ServiceDefinition(BOOKS, "/healthz", 100, ColdStart.NONE)),
                        CallerLimits.UNCONFIGURED,
                        TenantTable.NOT_CONFIGURED));
    }

    /**
     * Guards against bodies that cross the regions although the destination is known to be full.
     */
    @Test
    void should_refuse_at_once_when_the_only_data_centre_is_full() {
        // given
        start(true, remote("one", 1), remote("two", 2), remote("three", 3));
        sendUntilFull();
        int before = sent.size();
        int repliesBefore = replies.size();

        // when
        send();

        // then
        assertThat(sent).hasSize(before);
        assertThat(replies).hasSize(repliesBefore + 1);
        CallerReply last = replies.get(replies.size() - 1);
        assertThat(last.status()).isEqualTo(UNAVAILABLE);
        assertThat(last.headers().get(0).getName()).isEqualTo("Retry-After");
        double seconds = Double.parseDouble(last.headers().get(0).getValue());
        assertThat(seconds).isAtLeast(0.29);
        assertThat(seconds).isAtMost(1.0);
        assertThat(metrics.render()).contains("damaskmoor_egress_refused_books_total");
    }

    /** Guards against a call that is sent from one full target to the next across regions. */
    @Test
    void should_ask_the_second_target_elsewhere_to_queue_the_call() {
        // given
        start(true, remote("one", 1), remote("two", 2), remote("three", 3));

        // when
        send();
        refuse(sent.get(0));

        // then
        assertThat(sent).hasSize(2);
        assertThat(sent.get(0).call().getLastChoice()).isFalse();
        assertThat(sent.get(1).call().getLastChoice()).isTrue();
    }

    /** Guards against calls that are not offered to upstreams nearby. */
    @Test
    void should_send_calls_to_the_own_data_centre_when_others_are_full() {
        // given
        start(true, remote("one", 1), remote("two", 2), remote("three", 3));
        sendUntilFull();
        fleet.merge(List.of(member("near", 4, "home", "home-1")));
        int before = sent.size();

        // when
        for (int i = 0; i < 5; i++) {
            send();
        }

        // then
        List<SentCall> further = sent.subList(before, sent.size());
        assertThat(further).hasSize(5);
        for (SentCall call : further) {
            assertThat(call.target()).isEqualTo(new NodeId("near"));
        }
    }

    /** Guards against a limit of one data centre that keeps calls from another. */
    @Test
    void should_send_calls_to_another_data_centre_when_one_is_full() {
        // given
        start(true, remote("one", 1), remote("two", 2), remote("three", 3));
        sendUntilFull();
        fleet.merge(List.of(member("far", 4, "away", "away-2")));
        int before = sent.size();

        // when
        send();

        // then
        assertThat(sent.size()).isEqualTo(before + 1);
        assertThat(sent.get(before).target()).isEqualTo(new NodeId("far"));
    }

    /** Guards against a changed behaviour of deployments that don't ask for egress control. */
    @Test
    void should_send_each_call_when_the_setting_is_off() {
        // given
        start(false, remote("one", 1), remote("two", 2), remote("three", 3));

        // when
        for (int i = 0; i < 10; i++) {
            int before = sent.size();
            send();
            for (int j = before; j < sent.size(); j++) {
                refuse(sent.get(j));
            }
            timers.advance(20);
        }

        // then each call is refused by three targets, the last of which may queue it
        assertThat(sent).hasSize(30);
        assertThat(sent.get(1).call().getLastChoice()).isFalse();
        assertThat(sent.get(2).call().getLastChoice()).isTrue();
        assertThat(entry.isExporting(BOOKS)).isFalse();
    }

    /** Guards against two data centres that send the same calls to each other. */
    @Test
    void should_not_send_to_a_data_centre_that_sends_calls_away_itself() {
        // given
        start(true, member("near", 1, "home", "home-1"), member("next", 2, "home", "home-2"));
        load("near", FULL);
        load("next", IDLE.toBuilder().setExporting(true).build());

        // when
        send();
        timers.advance(499);
        send();

        // then
        assertThat(targets()).containsExactly(new NodeId("near"), new NodeId("near"));

        // when
        timers.advance(1);
        load("near", FULL);
        load("next", IDLE);
        send();

        // then
        assertThat(sent.get(2).target()).isEqualTo(new NodeId("next"));
    }

    /** Guards against calls that can only run elsewhere and are refused. */
    @Test
    void should_send_to_a_data_centre_that_sends_calls_away_when_there_is_no_target_nearby() {
        // given
        start(true, remote("one", 1));
        load("one", IDLE.toBuilder().setExporting(true).build());

        // when
        send();

        // then
        assertThat(targets()).containsExactly(new NodeId("one"));
        assertThat(entry.isExporting(BOOKS)).isFalse();
    }

    /** Guards against a data centre that counts as full because one of its targets is slower. */
    @Test
    void should_count_as_exporting_only_when_the_own_data_centre_has_no_free_slot() {
        // given
        start(
                true,
                member("near", 1, "home", "home-1"),
                member("near-2", 2, "home", "home-1"),
                member("next", 3, "home", "home-2"));
        load("near", FULL);
        load("near-2", IDLE.toBuilder().setSteadySlownessPercent(900).build());
        load("next", IDLE);

        // when
        send();

        // then
        assertThat(targets()).containsExactly(new NodeId("next"));
        assertThat(entry.isExporting(BOOKS)).isFalse();

        // when
        load("near-2", FULL);
        send();

        // then
        assertThat(sent.get(1).target()).isEqualTo(new NodeId("next"));
        assertThat(entry.isExporting(BOOKS)).isTrue();

        // when
        timers.advance(500);

        // then
        assertThat(entry.isExporting(BOOKS)).isFalse();
    }

    /** Guards against a destination that stays limited when it answers again. */
    @Test
    void should_send_all_calls_again_when_the_destination_has_room() {
        // given
        start(true, remote("one", 1), remote("two", 2), remote("three", 3));
        sendUntilFull();

        // when
        for (int i = 0; i < 40; i++) {
            timers.advance(250);
            int before = sent.size();
            send();
            for (int j = before; j < sent.size(); j++) {
                answer(sent.get(j));
            }
        }
        int before = sent.size();
        send();
        send();

        // then
        assertThat(sent).hasSize(before + 2);
        assertThat(metrics.render()).contains("damaskmoor_egress_opened_total 1");
    }

    /** Sends calls, each of which is refused by all targets that get it, until one is not sent. */
    private void sendUntilFull() {
        for (int i = 0; i < 20; i++) {
            int before = sent.size();
            send();
            if (sent.size() == before) {
                return;
            }
            for (int j = before; j < sent.size(); j++) {
                refuse(sent.get(j));
            }
            timers.advance(20);
        }
        throw new AssertionError("calls are still sent to a full data centre");
    }

    private void send() {
        entry.handle(
                new CallerRequest(
                        "r",
                        "GET",
                        "shop.example",
                        "/read/1",
                        List.of(),
                        ByteString.EMPTY,
                        1000,
                        timers.now()),
                replies::add);
    }

    private void refuse(SentCall call) {
        entry.outcomeListener(call.target())
                .onRefused(
                        ForwardedRefusal.newBuilder()
                                .setSequence(call.call().getSequence())
                                .setAttempt(call.call().getAttempt())
                                .setReason(RefusalReason.QUEUE_FULL)
                                .setRetryAfterMilliseconds(RETRY_AFTER)
                                .setLoad(FULL)
                                .build());
    }

    private void answer(SentCall call) {
        entry.outcomeListener(call.target())
                .onAnswered(
                        ForwardedAnswer.newBuilder()
                                .setSequence(call.call().getSequence())
                                .setAttempt(call.call().getAttempt())
                                .setStatus(200)
                                .setLoad(IDLE)
                                .build());
    }

    private void load(String node, TargetLoad load) {
        entry.outcomeListener(new NodeId(node)).onLoad(load);
    }

    private List<NodeId> targets() {
        return sent.stream().map(SentCall::target).toList();
    }

    private static FleetMember remote(String node, int number) {
        return member(node, number, "away", "away-1");
    }

    private static FleetMember member(String node, int number, String region, String dataCentre) {
        return FleetMember.newBuilder()
                .setNodeId(node)
                .setService(BOOKS.value())
                .setAddress("127.0.0." + number + ":1")
                .setRegion(region)
                .setDataCentre(dataCentre)
                .setSlots(9)
                .build();
    }
}
