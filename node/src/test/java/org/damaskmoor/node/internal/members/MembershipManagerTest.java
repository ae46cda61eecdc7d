package org.damaskmoor.node.internal.members;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Proxy;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.platform.TableService;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.junit.jupiter.api.Test;

class MembershipManagerTest {
    private static final ServiceName BESUCH = new ServiceName("besuch");
    private static final MemberRecord SELF =
            MemberRecord.newBuilder()
                    .setNodeId("besuch-1")
                    .setIncarnation(1)
                    .setState(MemberState.ALIVE)
                    .setRegion("mittelland")
                    .setDataCentre("bern-nord")
                    .setAddress("127.0.0.1")
                    .setGossipPort(7946)
                    .build();

    private final AtomicLong now = new AtomicLong(1_000);
    private final MemberDirectory directory = new MemberDirectory();

    private final MembershipManager manager =
            new MembershipManager(
                    SELF,
                    (message, to) -> {},
                    GossipExtension.NONE,
                    new SeedNodeRegistry(unresponsiveTables()),
                    directory,
                    new IgnoringListener(),
                    Runnable::run,
                    now::get,
                    new Random(1));

    private static TableService unresponsiveTables() {
        return (TableService)
                Proxy.newProxyInstance(
                        TableService.class.getClassLoader(),
                        new Class<?>[] {TableService.class},
                        (proxy, method, arguments) -> new CompletableFuture<>());
    }

    @Test
    void should_publish_own_upstream_when_announced_after_initial_publication() {
        // given
        manager.tick();
        now.addAndGet(1_000);
        manager.tick();

        // when
        manager.protocol().announceService(BESUCH, now.get());
        manager.protocol().announceUpstream(UpstreamState.SERVING, 10, now.get());
        now.addAndGet(1_000);
        manager.tick();

        // then
        assertThat(directory.targets(BESUCH)).hasSize(1);
        assertThat(directory.targets(BESUCH).get(0).state()).isEqualTo(UpstreamState.SERVING);
    }

    private static final class IgnoringListener implements MembershipManager.MembershipListener {
        @Override
        public void onDirectoryPublished() {}

        @Override
        public void onMemberRemoved(MemberRecord member) {}

        @Override
        public void onMemberPresent(MemberRecord member) {}

        @Override
        public void onSuperseded() {}
    }
}
