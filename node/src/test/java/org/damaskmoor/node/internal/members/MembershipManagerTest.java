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

    private final MembershipManager duty =
            new MembershipManager(
                    SELF,
                    (message, to) -> {},
                    GossipExtension.NONE,
                    new SeedNodeRegistry(silentTables()),
                    directory,
                    new SilentListener(),
                    Runnable::run,
                    now::get,
                    new Random(1));

    private static TableService silentTables() {
        return (TableService)
                Proxy.newProxyInstance(
                        TableService.class.getClassLoader(),
                        new Class<?>[] {TableService.class},
                        (proxy, method, arguments) -> new CompletableFuture<>());
    }

    @Test
    void should_publish_the_own_upstream_when_it_is_announced_after_all_else_was_published() {
        // given
        duty.tick();
        now.addAndGet(1_000);
        duty.tick();

        // when
        duty.protocol().announceService(BESUCH, now.get());
        duty.protocol().announceUpstream(UpstreamState.SERVING, 10, now.get());
        now.addAndGet(1_000);
        duty.tick();

        // then
        assertThat(directory.targets(BESUCH)).hasSize(1);
        assertThat(directory.targets(BESUCH).get(0).state()).isEqualTo(UpstreamState.SERVING);
    }

    private static final class SilentListener implements MembershipManager.MembershipListener {
        @Override
        public void onPublished() {}

        @Override
        public void onGone(MemberRecord member) {}

        @Override
        public void onPresent(MemberRecord member) {}

        @Override
        public void onSuperseded() {}
    }
}
