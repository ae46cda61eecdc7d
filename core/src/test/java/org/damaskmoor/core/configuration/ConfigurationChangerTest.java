package org.damaskmoor.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.damaskmoor.core.configuration.ChangeOutcome.Accepted;
import org.damaskmoor.core.configuration.ChangeOutcome.Conflict;
import org.damaskmoor.core.configuration.ChangeOutcome.Invalid;
import org.damaskmoor.core.configuration.ChangeOutcome.NotAccepted;
import org.damaskmoor.core.configuration.ChangeOutcome.Unknown;
import org.damaskmoor.core.configuration.FakeServiceTable.CallOutcome;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.junit.jupiter.api.Test;

class ConfigurationChangerTest {
    private final FakeServiceTable table = new FakeServiceTable();
    private final List<VersionedConfiguration> accepted = new ArrayList<>();
    private final ConfigurationChanger changer =
            new ConfigurationChanger(table, new ConfigurationValidator(), accepted::add);

    private static ChangeRequest change(long expectedVersion, String operationId) {
        ServiceConfiguration service =
                ServiceConfiguration.newBuilder().setName("besuch").addHosts(operationId).build();
        return new ChangeRequest(service, false, expectedVersion, operationId, "anna", 7);
    }

    private static ChangeRequest deletion(long expectedVersion, String operationId) {
        ServiceConfiguration service = ServiceConfiguration.newBuilder().setName("besuch").build();
        return new ChangeRequest(service, true, expectedVersion, operationId, "anna", 8);
    }

    private ChangeOutcome apply(ChangeRequest request) {
        return changer.apply(request, List.of()).join();
    }

    private long versionInTable() {
        return table.rows.get("besuch").configuration().getVersion();
    }

    @Test
    void should_return_the_winning_change_to_the_loser_when_two_operators_race() {
        // given
        apply(change(0, "first"));
        ChangeRequest winner = change(1, "winner");
        table.beforeNextWrite = () -> apply(winner);

        // when
        ChangeOutcome outcome = apply(change(1, "loser"));

        // then
        assertThat(outcome).isInstanceOf(Conflict.class);
        VersionedConfiguration inForce = ((Conflict) outcome).inForce();
        assertThat(inForce.getVersion()).isEqualTo(2);
        assertThat(inForce.getChangedBy()).isEqualTo("anna");
        assertThat(inForce.getOperationId()).isEqualTo("winner");
        assertThat(accepted).hasSize(2);
    }

    @Test
    void should_accept_once_when_the_answer_was_lost_after_the_effect() {
        // given
        table.writeOutcomes.add(CallOutcome.LOST_AFTER_EFFECT);

        // when
        ChangeOutcome outcome = apply(change(0, "first"));
        ChangeOutcome again = apply(change(0, "first"));

        // then
        assertThat(((Accepted) outcome).version()).isEqualTo(1);
        assertThat(((Accepted) again).version()).isEqualTo(1);
        assertThat(table.writes).isEqualTo(1);
    }

    @Test
    void should_accept_when_another_change_followed_the_one_whose_answer_was_lost() {
        // given
        table.writeOutcomes.add(CallOutcome.LOST_AFTER_EFFECT);
        table.readOutcomes.add(CallOutcome.ANSWERED);
        for (int i = 0; i < 3; i++) {
            table.readOutcomes.add(CallOutcome.LOST_BEFORE_EFFECT);
        }
        ChangeOutcome first = apply(change(0, "first"));
        apply(change(1, "second"));

        // when
        ChangeOutcome settled = apply(change(0, "first"));

        // then
        assertThat(first).isEqualTo(new Unknown("first"));
        assertThat(((Accepted) settled).version()).isEqualTo(1);
        assertThat(versionInTable()).isEqualTo(2);
    }

    @Test
    void should_report_unknown_when_the_write_may_still_arrive() {
        // given
        for (int i = 0; i < 4; i++) {
            table.writeOutcomes.add(CallOutcome.DELAYED_PAST_ITS_FAILURE);
        }

        // when
        ChangeOutcome outcome = apply(change(0, "first"));
        table.delayedWrites.forEach(Runnable::run);
        ChangeOutcome settled = apply(change(0, "first"));

        // then
        assertThat(outcome).isEqualTo(new Unknown("first"));
        assertThat(((Accepted) settled).version()).isEqualTo(1);
        assertThat(table.writes).isEqualTo(1);
    }

    @Test
    void should_report_not_accepted_when_the_table_is_down() {
        // given
        table.defaultOutcome = CallOutcome.REFUSED;

        // when
        ChangeOutcome outcome = apply(change(0, "first"));

        // then
        assertThat(outcome).isInstanceOf(NotAccepted.class);
        assertThat(table.rows).isEmpty();
    }

    @Test
    void should_continue_the_version_numbers_when_a_deleted_service_is_created_again() {
        // given
        apply(change(0, "first"));
        apply(deletion(1, "delete"));

        // when
        ChangeOutcome outcome = apply(change(0, "again"));

        // then
        assertThat(((Accepted) outcome).version()).isEqualTo(3);
    }

    @Test
    void should_write_nothing_when_the_change_is_invalid() {
        // when
        ChangeOutcome outcome = apply(change(0, "NOT A HOST"));

        // then
        assertThat(outcome).isInstanceOf(Invalid.class);
        assertThat(table.rows).isEmpty();
    }

    @Property(tries = 300, seed = "17")
    void should_report_the_actual_outcome_when_calls_fail_in_any_order(@ForAll long seed) {
        // given
        Random random = new Random(seed);
        FakeServiceTable faulty = new FakeServiceTable();
        ConfigurationChanger any =
                new ConfigurationChanger(faulty, new ConfigurationValidator(), accepted::add);
        CallOutcome[] outcomes = CallOutcome.values();

        for (int i = 0; i < 8; i++) {
            for (int j = 0; j < 6; j++) {
                faulty.writeOutcomes.add(outcomes[random.nextInt(outcomes.length)]);
                faulty.readOutcomes.add(
                        random.nextBoolean() ? CallOutcome.ANSWERED : CallOutcome.REFUSED);
            }
            ServiceTable.Row before = faulty.rows.get("besuch");
            long expected = before == null ? 0 : before.configuration().getVersion();

            // when
            ChangeOutcome outcome = any.apply(change(expected, "change-" + i), List.of()).join();
            faulty.delayedWrites.forEach(Runnable::run);
            faulty.delayedWrites.clear();

            // then
            ServiceTable.Row after = faulty.rows.get("besuch");
            long version = after == null ? 0 : after.configuration().getVersion();
            if (outcome instanceof Accepted) {
                assertThat(version).isEqualTo(expected + 1);
            } else if (!(outcome instanceof Unknown)) {
                assertThat(version).isEqualTo(expected);
            }
        }
    }
}
