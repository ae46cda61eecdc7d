package org.damaskmoor.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final Incarnation FIRST = new Incarnation(1);
    private static final NodeId NODE_A = new NodeId("a");
    private static final NodeId NODE_B = new NodeId("b");
    private static final RequestFingerprint CRASHING = new RequestFingerprint(7);

    private final Quarantine quarantine = Quarantine.create();
    private long now = Long.MAX_VALUE - 10 * SECOND;

    private record NaiveCrash(RequestFingerprint request, NodeId node, long at) {}

    @Test
    void should_quarantine_a_request_that_was_in_flight_at_crashes_of_two_upstreams() {
        // when
        crash(NODE_A, CRASHING);
        boolean afterOne = quarantine.isQuarantined(CRASHING, now);
        crash(NODE_B, CRASHING);

        // then
        assertThat(afterOne).isFalse();
        assertThat(quarantine.isQuarantined(CRASHING, now)).isTrue();
        assertThat(quarantine.retryAfterMilliseconds(CRASHING, now)).isEqualTo(60_000);
        now += 61 * SECOND;
        assertThat(quarantine.isQuarantined(CRASHING, now)).isFalse();
    }

    @Test
    void should_not_count_two_crashes_of_the_same_upstream() {
        // when
        crash(NODE_A, CRASHING);
        quarantine.onCrash(NODE_A, new Incarnation(2), List.of(CRASHING), now);

        // then
        assertThat(quarantine.isQuarantined(CRASHING, now)).isFalse();
    }

    @Test
    void should_not_suspect_a_recently_answered_request() {
        // given
        quarantine.onAnswered(CRASHING, now);

        // when
        crash(NODE_A, CRASHING);
        crash(NODE_B, CRASHING);

        // then
        assertThat(quarantine.isQuarantined(CRASHING, now)).isFalse();
    }

    @Test
    void should_quarantine_a_request_when_a_peer_reported_the_other_crash() {
        // given
        Quarantine peer = Quarantine.create();
        List<CrashRecord> sent = peer.onCrash(NODE_A, FIRST, List.of(CRASHING), now);

        // when
        CrashRecord received = CrashRecord.of(sent.get(0).toMessage());
        boolean isNew = quarantine.merge(received, now);
        boolean isNewAgain = quarantine.merge(received, now);
        crash(NODE_B, CRASHING);

        // then
        assertThat(isNew).isTrue();
        assertThat(isNewAgain).isFalse();
        assertThat(quarantine.isQuarantined(CRASHING, now)).isTrue();
        assertThat(quarantine.records(now)).hasSize(2);
    }

    @Test
    void should_bound_its_memory_and_forget_the_oldest_first() {
        // when
        for (int i = 0; i < 5000; i++) {
            crash(NODE_A, new RequestFingerprint(i));
        }

        // then
        assertThat(quarantine.records(now)).hasSize(1024);
        crash(NODE_B, new RequestFingerprint(4999));
        assertThat(quarantine.isQuarantined(new RequestFingerprint(4999), now)).isTrue();
    }

    @Test
    void should_give_different_fingerprints_when_any_part_differs() {
        // given
        Set<RequestFingerprint> all = new HashSet<>();

        // when
        for (String method : List.of("GET", "PUT")) {
            for (String path : List.of("/a", "/b")) {
                for (String body : List.of("", "key")) {
                    for (String key : List.of("", "key")) {
                        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                        all.add(RequestFingerprint.of(method, path, bytes, key));
                    }
                }
            }
        }

        // then
        assertThat(all).hasSize(16);
    }

    @Property(seed = "1")
    void should_agree_with_a_list_of_all_crashes(@ForAll long seed) {
        // given
        Random random = new Random(seed);
        Quarantine tested = Quarantine.create();
        List<NaiveCrash> crashes = new ArrayList<>();
        long time = random.nextLong();

        for (int i = 0; i < 60; i++) {
            // when
            time += random.nextInt(20) * SECOND;
            RequestFingerprint request = new RequestFingerprint(random.nextInt(4));
            NodeId node = new NodeId("node-" + random.nextInt(3));
            tested.onCrash(node, FIRST, List.of(request), time);
            crashes.add(new NaiveCrash(request, node, time));

            // then
            for (int value = 0; value < 4; value++) {
                RequestFingerprint each = new RequestFingerprint(value);
                assertThat(tested.isQuarantined(each, time))
                        .isEqualTo(naiveIsQuarantined(crashes, each, time));
            }
        }
    }

    private void crash(NodeId node, RequestFingerprint request) {
        quarantine.onCrash(node, FIRST, List.of(request), now);
    }

    private static boolean naiveIsQuarantined(
            List<NaiveCrash> crashes, RequestFingerprint request, long now) {
        Set<NodeId> nodes = new HashSet<>();
        for (NaiveCrash crash : crashes) {
            if (crash.request.equals(request) && now - crash.at < 60 * SECOND) {
                nodes.add(crash.node);
            }
        }
        return nodes.size() >= 2;
    }
}
