package org.damaskmoor.core.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;
import org.junit.jupiter.api.Test;

final class ReaderElectionTest {
    private static final int NODES = 30;
    private static final long STEP_MILLISECONDS = 50;
    private static final long START = 10_000;

    private final List<NodeId> nodes =
            IntStream.range(0, NODES)
                    .mapToObj(i -> new NodeId("node-" + i))
                    .sorted(Comparator.comparingLong(node -> StableHash.of(node.value())))
                    .toList();
    private final List<ReaderElection> elections =
            nodes.stream().map(node -> new ReaderElection(node, START)).toList();

    @Test
    void should_let_one_node_of_a_data_centre_read() {
        // when
        Set<NodeId> readers = play(START, START + 5000, Set.of());

        // then
        assertThat(readers).containsExactly(nodes.get(0));
    }

    @Test
    void should_let_few_nodes_take_over_when_the_reader_is_gone() {
        // given
        play(START, START + 5000, Set.of());

        // when
        Set<NodeId> readers = play(START + 5000, START + 10_000, Set.of(nodes.get(0)));

        // then
        assertThat(readers).contains(nodes.get(1));
        assertThat(readers.size()).isAtMost(2);
    }

    @Test
    void should_give_reading_back_to_the_first_node_when_it_returns() {
        // given
        play(START, START + 5000, Set.of(nodes.get(0)));

        // when
        play(START + 5000, START + 7000, Set.of());

        // then
        assertThat(play(START + 7000, START + 9000, Set.of())).containsExactly(nodes.get(0));
    }

    @Test
    void should_notice_within_the_timeout_that_no_reader_tells_any_more() {
        // given
        ReaderElection last = elections.get(NODES - 1);
        last.onHeartbeat(nodes.get(0), true, START);

        // then
        long before = START + ReaderElection.TIMEOUT_MILLISECONDS - 1;
        assertThat(last.hasHealthyReader(before)).isTrue();
        assertThat(last.hasHealthyReader(before + 1)).isFalse();
    }

    @Test
    void should_not_count_as_informed_while_the_store_does_not_answer_the_reader() {
        // given
        ReaderElection last = elections.get(NODES - 1);

        // when
        last.onHeartbeat(nodes.get(0), false, START);

        // then
        assertThat(last.hasHealthyReader(START)).isFalse();
    }

    /** Lets the nodes that are not gone send signs; returns all that were readers meanwhile. */
    private Set<NodeId> play(long from, long until, Set<NodeId> gone) {
        Set<NodeId> readers = new HashSet<>();
        for (long now = from; now < until; now += STEP_MILLISECONDS) {
            for (int i = 0; i < NODES; i++) {
                if (!gone.contains(nodes.get(i)) && elections.get(i).isReader(nodes, now)) {
                    readers.add(nodes.get(i));
                    tell(nodes.get(i), now);
                }
            }
        }
        return readers;
    }

    private void tell(NodeId reader, long now) {
        for (int i = 0; i < NODES; i++) {
            if (!nodes.get(i).equals(reader)) {
                elections.get(i).onHeartbeat(reader, true, now);
            }
        }
    }
}
