package org.damaskmoor.relay.internal.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.placement.RouteStatistics;
import org.damaskmoor.core.placement.TargetChooser;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.core.routetable.ColdStart;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.routetable.ServiceDefinition;
import org.damaskmoor.core.routetable.WeightedService;
import org.damaskmoor.core.tenancy.RequestQuota;
import org.damaskmoor.core.tenancy.Tenant;
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
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which outcome of which target a request is answered with. */
class EntryRequestHandlerTest {
    private static final int MANY_ROUTES = 20_000;

    /** Half a second on a VM with 0.3 of a processor. */
    private static final long MAX_MILLISECONDS = 150;

    private static final ServiceName BOOKS = new ServiceName("books");
    private static final int OK = 200;
    private static final int FAILURE = 500;

    private final List<SentCall> sent = new ArrayList<>();
    private final List<CallerReply> replies = new ArrayList<>();
    private final FakeQuotas quotas = new FakeQuotas();
    private FleetDirectory fleet;
    private EntryRequestHandler entry;

    @BeforeEach
    void start() {
        ManualTimers timers = new ManualTimers();
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
        fleet.merge(List.of(member("one", 1), member("two", 2)));
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
                                new EntryEgress(false, fleet, timers, log, new RelayMetrics()),
                                timers,
                                random,
                                log,
                                new RelayMetrics()),
                        new NoQuarantine(),
                        version -> true,
                        false,
                        quotas);
        entry.applyRoutes(
                new RouteTable(
                        1,
                        List.of(route("read", true), route("order", false)),
                        List.of(new ServiceDefinition(BOOKS, "/healthz", 100, ColdStart.NONE)),
                        CallerLimits.UNCONFIGURED,
                        TenantTable.NOT_CONFIGURED));
    }

    @Test
    void should_not_take_an_answer_from_a_node_that_the_attempt_was_not_sent_to() {
        // given
        send("/order/1");
        SentCall call = sent.get(0);

        // when
        entry.outcomeListener(other(call.target())).onAnswered(answer(call, OK));

        // then
        assertThat(replies).isEmpty();

        // when
        entry.outcomeListener(call.target()).onAnswered(answer(call, FAILURE));

        // then
        assertThat(statuses()).containsExactly(FAILURE);
    }

    @Test
    void should_not_take_a_refusal_from_a_node_that_the_attempt_was_not_sent_to() {
        // given
        send("/order/1");
        SentCall call = sent.get(0);

        // when
        entry.outcomeListener(other(call.target()))
                .onRefused(
                        ForwardedRefusal.newBuilder()
                                .setSequence(call.call().getSequence())
                                .setAttempt(call.call().getAttempt())
                                .setReason(RefusalReason.QUEUE_FULL)
                                .build());

        // then
        assertThat(replies).isEmpty();
        assertThat(sent).hasSize(1);
    }

    @Test
    void should_forward_the_failure_of_the_only_run_when_another_request_succeeds() {
        // given
        send("/order/1");
        send("/order/2");

        // when
        entry.outcomeListener(sent.get(0).target()).onAnswered(answer(sent.get(0), FAILURE));
        entry.outcomeListener(sent.get(1).target()).onAnswered(answer(sent.get(1), OK));

        // then
        assertThat(statuses()).containsExactly(FAILURE, OK).inOrder();
    }

    @Test
    void should_forward_one_answer_when_both_attempts_are_answered() {
        // given
        send("/read/1");
        entry.outcomeListener(sent.get(0).target()).onAnswered(answer(sent.get(0), FAILURE));
        assertThat(sent).hasSize(2);

        // when
        entry.outcomeListener(sent.get(1).target()).onAnswered(answer(sent.get(1), OK));
        entry.outcomeListener(sent.get(0).target()).onAnswered(answer(sent.get(0), FAILURE));

        // then
        assertThat(statuses()).containsExactly(OK);
        assertThat(replies.get(0).body()).isEqualTo(answer(sent.get(1), OK).getBody());
    }

    @Test
    void should_forward_the_failure_that_was_answered_when_the_next_attempt_gets_no_answer() {
        // given
        send("/read/1");
        entry.outcomeListener(sent.get(0).target()).onAnswered(answer(sent.get(0), FAILURE));

        // when
        SentCall second = sent.get(1);
        entry.outcomeListener(second.target())
                .onFailed(
                        ForwardedFailure.newBuilder()
                                .setSequence(second.call().getSequence())
                                .setAttempt(second.call().getAttempt())
                                .build());

        // then
        assertThat(statuses()).containsExactly(FAILURE);
        assertThat(replies.get(0).body()).isEqualTo(answer(sent.get(0), FAILURE).getBody());
    }

    @Test
    void should_take_no_outcome_of_an_attempt_that_was_not_made() {
        // given
        send("/order/1");
        SentCall call = sent.get(0);

        // when
        ForwardedAnswer answer = answer(call, OK).toBuilder().setAttempt(2).build();
        entry.outcomeListener(call.target()).onAnswered(answer);

        // then
        assertThat(replies).isEmpty();
    }

    /** A node that has moved has a link to each of its addresses for a while. */
    @Test
    void should_give_up_an_attempt_when_its_own_link_is_lost_and_no_other_one_to_its_node() {
        // given
        send("/read/1");
        NodeId target = sent.get(0).target();

        // when
        entry.onLinkLost(new RecordingLink(target, sent));

        // then
        assertThat(sent).hasSize(1);

        // when
        entry.onLinkLost(fleet.find(target).orElseThrow().link());

        // then
        assertThat(sent).hasSize(2);
    }

    /** Guards against requests above a quota that run, or are charged without a limit. */
    @Test
    void should_refuse_at_once_when_the_quota_of_the_tenant_is_used_up() {
        // given
        quotas.left = 1;

        // when
        send("/read/1", Optional.of(tenant(5)));
        send("/read/2", Optional.of(tenant(5)));
        send("/read/3", Optional.of(tenant(0)));
        send("/read/4", Optional.empty());

        // then
        assertThat(statuses()).containsExactly(429);
        assertThat(replies.get(0).headers().get(0).getName()).isEqualTo("Retry-After");
        assertThat(sent).hasSize(3);
        assertThat(quotas.asked).isEqualTo(2);
    }

    /** Guards against a quota that is used up by requests that never ran. */
    @Test
    void should_refund_a_request_once_when_it_is_answered_as_not_run() {
        // given
        send("/order/1", Optional.of(tenant(5)));
        send("/order/2", Optional.of(tenant(5)));

        // when every target refuses the first, and the second fails after it ran
        for (int i = 0; i < sent.size(); i++) {
            SentCall call = sent.get(i);
            if (call.call().getSequence() == 1) {
                entry.outcomeListener(call.target())
                        .onRefused(
                                ForwardedRefusal.newBuilder()
                                        .setSequence(1)
                                        .setAttempt(call.call().getAttempt())
                                        .setReason(RefusalReason.QUARANTINED)
                                        .build());
            }
        }
        SentCall second =
                sent.stream().filter(call -> call.call().getSequence() == 2).findFirst().get();
        entry.outcomeListener(second.target()).onAnswered(answer(second, 503));

        // then
        assertThat(statuses()).containsExactly(503, 503);
        assertThat(quotas.refunded).isEqualTo(1);
    }

    /** Guards against a search through all routes for each route that divides its requests. */
    @Test
    void should_apply_many_routes_in_less_than_half_a_second_of_a_slow_processor() {
        // given
        List<Route> routes =
                IntStream.range(0, MANY_ROUTES).mapToObj(i -> splitRoute("split-" + i)).toList();
        for (Route route : routes) {
            entry.start(request(route.prefix()), route, Optional.empty(), replies::add);
        }
        RouteTable table =
                new RouteTable(
                        2,
                        routes,
                        List.of(new ServiceDefinition(BOOKS, "/healthz", 100, ColdStart.NONE)),
                        CallerLimits.UNCONFIGURED,
                        TenantTable.NOT_CONFIGURED);
        long before = processorMilliseconds();

        // when
        entry.applyRoutes(table);

        // then
        assertThat(processorMilliseconds() - before).isLessThan(MAX_MILLISECONDS);
    }

    private static long processorMilliseconds() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1_000_000;
    }

    private static Route splitRoute(String name) {
        return new Route(
                name,
                "shop.example",
                "/" + name + "/",
                true,
                2000,
                800,
                1,
                List.of(new WeightedService(BOOKS, 1), new WeightedService(BOOKS, 2)),
                2,
                false,
                Set.of());
    }

    private void send(String path) {
        entry.handle(request(path), replies::add);
    }

    private void send(String path, Optional<Tenant> tenant) {
        entry.start(
                request(path),
                route(path.startsWith("/read") ? "read" : "order", path.startsWith("/read")),
                tenant,
                replies::add);
    }

    private static CallerRequest request(String path) {
        return new CallerRequest(
                "r", "GET", "shop.example", path, List.of(), ByteString.EMPTY, 1000, 1);
    }

    private static Tenant tenant(double limit) {
        return new Tenant(
                new TenantName("acme"), Set.of(), 0, new RequestQuota(limit, limit), Set.of());
    }

    private List<Integer> statuses() {
        return replies.stream().map(CallerReply::status).toList();
    }

    private static NodeId other(NodeId node) {
        return new NodeId(node.value().equals("one") ? "two" : "one");
    }

    private static ForwardedAnswer answer(SentCall call, int status) {
        return ForwardedAnswer.newBuilder()
                .setSequence(call.call().getSequence())
                .setAttempt(call.call().getAttempt())
                .setStatus(status)
                .setBody(ByteString.copyFromUtf8(status + " of " + call.call().getAttempt()))
                .build();
    }

    private static FleetMember member(String node, int number) {
        return FleetMember.newBuilder()
                .setNodeId(node)
                .setService(BOOKS.value())
                .setAddress("127.0.0." + number + ":1")
                .setRegion("home")
                .setDataCentre("home-1")
                .setSlots(9)
                .build();
    }

    private static Route route(String name, boolean idempotent) {
        return new Route(
                name,
                "shop.example",
                "/" + name + "/",
                idempotent,
                2000,
                800,
                1,
                List.of(new WeightedService(BOOKS, 1)),
                2,
                false,
                Set.of());
    }
}
