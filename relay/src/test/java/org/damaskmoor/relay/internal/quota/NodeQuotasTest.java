package org.damaskmoor.relay.internal.quota;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.tenancy.RequestQuota;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.core.tenancy.TenantTable;
import org.damaskmoor.relay.fixture.IdleLink;
import org.damaskmoor.relay.fixture.ManualTimers;
import org.damaskmoor.relay.fixture.SilentLog;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.LeavingUpstreams;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two nodes that exchange reports and grants over links with a delay. */
class NodeQuotasTest {
    private static final long DELAY = 5;
    private static final double LIMIT = 20;
    private static final Tenant TENANT =
            new Tenant(
                    new TenantName("acme"), Set.of(), 0, new RequestQuota(LIMIT, LIMIT), Set.of());

    private final ManualTimers timers = new ManualTimers();
    private final List<NodeQuotas> nodes = new ArrayList<>();
    private int messages;
    private int admitted;
    private int refused;

    @BeforeEach
    void start() {
        nodes.add(node(0));
        nodes.add(node(1));
        nodes.forEach(NodeQuotas::start);
    }

    /** Guards against nodes that each use the whole limit. */
    @Test
    void should_keep_the_limit_when_two_nodes_are_asked() {
        // given
        nodes.forEach(node -> node.onConfiguration(routes(TENANT)));

        // when they get ten times the limit for 5 s
        for (int i = 0; i < 1000; i++) {
            timers.advance(5);
            send(nodes.get(i % 2));
        }

        // then
        assertThat(admitted).isAtMost((int) ((LIMIT * 5 + LIMIT) * 1.1 + 20));
        assertThat(admitted).isAtLeast((int) (0.9 * LIMIT * 5));
        assertThat(refused).isEqualTo(1000 - admitted);
    }

    /** Guards against work and messages in deployments without limits. */
    @Test
    void should_send_nothing_when_no_tenant_is_limited() {
        // given
        nodes.forEach(node -> node.onConfiguration(routes()));

        // when
        timers.advance(5000);

        // then
        assertThat(messages).isEqualTo(0);
    }

    /**
     * Guards against a node that takes the whole limit before it knows of other nodes, and against
     * 429 for a tenant that has not used up its quota.
     */
    @Test
    void should_refuse_when_no_member_is_known_yet() {
        // given
        NodeQuotas alone =
                new NodeQuotas(
                        id(0),
                        new Incarnation(1),
                        fleet(0),
                        timers,
                        new SilentLog(),
                        new RelayMetrics());
        alone.onConfiguration(routes(TENANT));

        // when
        Optional<CallerReply> reply = alone.charge(request(), TENANT);

        // then
        assertThat(reply.get().status()).isEqualTo(503);
    }

    private void send(NodeQuotas node) {
        Optional<CallerReply> refusal = node.charge(request(), TENANT);
        if (refusal.isEmpty()) {
            admitted++;
        } else {
            refused++;
            assertThat(refusal.get().status()).isEqualTo(429);
            double retryAfter = Double.parseDouble(refusal.get().headers().get(0).getValue());
            assertThat(retryAfter).isGreaterThan(0.0);
            assertThat(retryAfter).isAtMost(3.0);
        }
    }

    private NodeQuotas node(int index) {
        FleetDirectory fleet = fleet(index);
        fleet.addSelf(member(index), new QuotaLink(index, index));
        fleet.merge(List.of(member(1 - index)));
        return new NodeQuotas(
                id(index), new Incarnation(1), fleet, timers, new SilentLog(), new RelayMetrics());
    }

    private FleetDirectory fleet(int index) {
        SilentLog log = new SilentLog();
        return new FleetDirectory(
                id(index),
                new RegionName("home"),
                new DataCentreName("home-1"),
                (node, address) -> new QuotaLink(index, 1 - index),
                timers,
                log,
                new LeavingUpstreams(log));
    }

    private static NodeId id(int index) {
        return new NodeId("node-" + index);
    }

    private static FleetMember member(int index) {
        return FleetMember.newBuilder()
                .setNodeId(id(index).value())
                .setService("books")
                .setAddress("127.0.0." + (index + 1) + ":1")
                .setRegion("home")
                .setDataCentre("home-1")
                .setSlots(6)
                .build();
    }

    private static RouteTable routes(Tenant... tenants) {
        return new RouteTable(
                1,
                List.of(),
                List.of(),
                CallerLimits.UNCONFIGURED,
                TenantTable.of(List.of(tenants)));
    }

    private static CallerRequest request() {
        return new CallerRequest(
                "r", "GET", "shop.example", "/", List.of(), ByteString.EMPTY, 1000, 1);
    }

    /** A link that carries frames about quotas only. */
    private final class QuotaLink extends IdleLink {
        private final int from;
        private final int to;

        QuotaLink(int from, int to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public void send(QuotaReport report) {
            messages++;
            timers.schedule(
                    DELAY,
                    () -> nodes.get(to).onReport(id(from), report).ifPresent(this::acknowledge));
        }

        @Override
        public void send(QuotaGrant grant) {
            messages++;
            timers.schedule(
                    DELAY,
                    () -> nodes.get(to).onGrant(id(from), grant).ifPresent(this::answerProbe));
        }

        private void acknowledge(QuotaGrant grant) {
            messages++;
            timers.schedule(DELAY, () -> nodes.get(from).onAcknowledged(id(to), grant));
        }

        private void answerProbe(QuotaReport answer) {
            messages++;
            timers.schedule(DELAY, () -> nodes.get(from).onProbeAnswered(id(to), answer));
        }
    }
}
