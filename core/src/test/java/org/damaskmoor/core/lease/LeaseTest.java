package org.damaskmoor.core.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class LeaseTest {
    private static final long DURATION = 1_000_000_000;
    private static final long MARGIN = 100_000_000;

    /** The lease row and the holders' fenced writes. */
    private static final class Table {
        private Optional<LeaseRow> row = Optional.empty();
        private final List<Long> fencingNumbersWritten = new ArrayList<>();
        private long tags;

        boolean write(LeaseStep.Write write) {
            if (!row.map(LeaseRow::tag).equals(write.tag())) {
                return false;
            }
            tags++;
            row = Optional.of(new LeaseRow("" + tags, write.lease()));
            return true;
        }

        boolean writeFenced(LeaseStep.Write leaseWrite) {
            boolean written = write(leaseWrite);
            if (written) {
                fencingNumbersWritten.add(leaseWrite.lease().getFencingNumber());
            }
            return written;
        }
    }

    private static void drive(Lease lease, Table table, long now) {
        for (int i = 0; i < 3; i++) {
            LeaseStep step = lease.next(now);
            if (step instanceof LeaseStep.Read) {
                lease.onRead(table.row, now);
            } else if (step instanceof LeaseStep.Write write) {
                answer(lease, table.write(write), table, now);
            }
        }
    }

    private static void answer(Lease lease, boolean written, Table table, long now) {
        if (written) {
            lease.onWritten(table.row.orElseThrow().tag());
        } else {
            lease.onConditionFailed(now);
        }
    }

    @Test
    void should_refuse_the_write_of_a_holder_that_was_paused() {
        // given: the first holder is paused after it checked its lease, before its write arrives
        Table table = new Table();
        Lease paused = new Lease("node-a/1", DURATION, MARGIN);
        Lease other = new Lease("node-b/1", DURATION, MARGIN);
        drive(paused, table, 0);
        drive(other, table, 0);
        LeaseStep.Write late = paused.beginFencedWrite(1).orElseThrow();

        // when
        for (long now = 0; now <= 2 * DURATION; now += DURATION / 10) {
            drive(other, table, now);
        }
        boolean written = table.writeFenced(late);

        // then
        assertThat(other.fencingNumber(2 * DURATION)).hasValue(2);
        assertThat(written).isFalse();
    }

    @Test
    void should_hold_the_lease_from_the_time_the_write_was_sent_when_its_answer_was_lost() {
        // given
        Table table = new Table();
        Lease lease = new Lease("node-a/1", DURATION, MARGIN);
        lease.next(0);
        lease.onRead(Optional.empty(), 0);
        table.write((LeaseStep.Write) lease.next(10));
        lease.onOutcomeUnknown(DURATION / 2);

        // when
        drive(lease, table, DURATION * 3 / 4);

        // then
        assertThat(lease.isHeld(DURATION * 3 / 4)).isTrue();
        assertThat(lease.fencingNumber(DURATION * 3 / 4)).hasValue(1);
    }

    @Test
    void should_be_available_immediately_when_the_holder_released_it() {
        // given
        Table table = new Table();
        Lease first = new Lease("node-a/1", DURATION, MARGIN);
        Lease second = new Lease("node-b/1", DURATION, MARGIN);
        drive(first, table, 0);

        // when
        first.release();
        drive(first, table, 1);
        drive(second, table, 1);

        // then
        assertThat(first.isHeld(1)).isFalse();
        assertThat(second.fencingNumber(1)).hasValue(2);
    }

    @Property(tries = 200, seed = "3")
    void should_never_interleave_the_writes_of_two_holders(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        // given: three candidates with pauses, lost answers and a store that fails
        SplittableRandom random = new SplittableRandom(seed);
        Table table = new Table();
        List<Lease> leases = new ArrayList<>();
        List<LeaseStep.Write> delayed = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            leases.add(new Lease("node-" + i + "/1", DURATION, MARGIN));
        }
        long now = 0;

        // when
        for (int i = 0; i < 2_000; i++) {
            now += random.nextLong(DURATION / 8);
            Lease lease = leases.get(random.nextInt(3));
            performStep(lease, table, delayed, random, now);
            assertWithMessage("seed %s", seed).that(holders(leases, now)).isAtMost(1);
        }

        // then
        assertThat(table.fencingNumbersWritten).isNotEmpty();
        assertWithMessage("seed %s", seed).that(table.fencingNumbersWritten).isInOrder();
    }

    private static long holders(List<Lease> leases, long now) {
        return leases.stream().filter(lease -> lease.isHeld(now)).count();
    }

    private static void performStep(
            Lease lease,
            Table table,
            List<LeaseStep.Write> delayed,
            SplittableRandom random,
            long now) {
        if (!delayed.isEmpty() && random.nextInt(4) == 0) {
            table.writeFenced(delayed.remove(0));
            return;
        }
        Optional<LeaseStep.Write> leaseWrite =
                random.nextBoolean() ? lease.beginFencedWrite(now) : Optional.empty();
        if (leaseWrite.isPresent()) {
            performFencedWrite(lease, table, leaseWrite.get(), delayed, random, now);
            return;
        }
        LeaseStep step = lease.next(now);
        if (step instanceof LeaseStep.Read) {
            lease.onRead(table.row, now);
        } else if (step instanceof LeaseStep.Write write) {
            boolean written = random.nextInt(8) != 0 && table.write(write);
            if (random.nextInt(4) == 0) {
                lease.onOutcomeUnknown(now);
            } else {
                answer(lease, written, table, now);
            }
        }
    }

    private static void performFencedWrite(
            Lease lease,
            Table table,
            LeaseStep.Write leaseWrite,
            List<LeaseStep.Write> delayed,
            SplittableRandom random,
            long now) {
        if (random.nextInt(4) == 0) {
            delayed.add(leaseWrite);
            lease.onOutcomeUnknown(now);
        } else {
            answer(lease, table.writeFenced(leaseWrite), table, now);
        }
    }
}
