package org.damaskmoor.bench.failure;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.damaskmoor.bench.demo.EmulatedVm;
import org.damaskmoor.bench.load.Outcome;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@Tag("failure")
class ConfigurationFailureTest {
    private static final String SERVICE = "register";

    private static FailureTestSite site;
    private static EmulatedVm north;
    private static EmulatedVm south;
    private static EmulatedVm far;

    @BeforeAll
    static void start() throws Exception {
        site = new FailureTestSite();
        north = site.vm("besuch-1");
        south = site.vm("besuch-2");
        far = site.vm("besuch-3");
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @AfterEach
    void restorePlatform() throws Exception {
        site.setPlatformMode("none");
    }

    /** Applies a configuration with a path prefix that is unique to the operation id. */
    private static long apply(EmulatedVm vm, long expectedVersion, String operationId)
            throws Exception {
        ServiceConfiguration configuration =
                ServiceConfiguration.newBuilder()
                        .setName(SERVICE)
                        .addPathPrefixes("/residents")
                        .addPathPrefixes("/" + operationId)
                        .build();
        try (OperatorClient operator = site.operator(vm)) {
            return operator.apply(configuration, expectedVersion, operationId).getVersion();
        }
    }

    /** Returns the outcome of an apply as seen by the operator. */
    private static String applyOutcome(EmulatedVm vm, long expectedVersion, String operationId) {
        try {
            return "accepted " + apply(vm, expectedVersion, operationId);
        } catch (OperatorException refused) {
            return refused.exitCode().name();
        } catch (Exception unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    @Test
    void should_accept_one_change_when_two_operators_apply_concurrently() throws Exception {
        // given
        long version = site.versionAt(north, SERVICE);

        // when
        List<CompletableFuture<String>> concurrentApplies =
                Stream.of(north, far)
                        .map(
                                vm ->
                                        CompletableFuture.supplyAsync(
                                                () ->
                                                        applyOutcome(
                                                                vm,
                                                                version,
                                                                "race-" + vm.nodeId())))
                        .toList();
        List<String> outcomes = concurrentApplies.stream().map(CompletableFuture::join).toList();

        // then
        assertThat(outcomes).containsExactly("accepted " + (version + 1), ExitCode.CONFLICT.name());
        site.awaitVersion(SERVICE, version + 1);
    }

    @Test
    void should_refuse_changes_and_keep_serving_when_the_platform_is_down() throws Exception {
        // given
        long version = site.versionAt(north, SERVICE);
        site.setPlatformMode("down");

        // when
        OperatorException refused =
                assertThrows(OperatorException.class, () -> apply(north, version, "while-down"));
        site.killNode(south);
        site.site.startNode(south);
        site.awaitReady(south);

        // then
        assertThat(refused.exitCode()).isEqualTo(ExitCode.NOT_ACCEPTED);
        assertThat(site.versionAt(south, SERVICE)).isEqualTo(version);
        assertThat(site.lookUp(north).outcome()).isEqualTo(Outcome.ANSWERED);
        FailureTestSite.await(
                "the restarted node serves callers",
                () -> site.lookUp(south).outcome() == Outcome.ANSWERED);
        String nonce = site.nonceFor(north);
        assertThat(site.book(north, nonce).outcome()).isEqualTo(Outcome.REFUSED);
        assertThat(site.totalRuns(nonce)).isEqualTo(0);
    }

    @Test
    void should_accept_a_change_when_the_answer_to_its_write_is_lost() throws Exception {
        // given
        long version = site.versionAt(north, SERVICE);
        site.setPlatformMode("lose-answers");

        // when
        long accepted = apply(north, version, "lost-answer");

        // then
        assertThat(accepted).isEqualTo(version + 1);
        assertThat(apply(far, version, "lost-answer")).isEqualTo(accepted);
        site.awaitVersion(SERVICE, accepted);
    }

    @Test
    void should_serve_in_both_regions_when_partitioned_and_agree_after_healing() throws Exception {
        // given
        long version = site.versionAt(north, SERVICE);
        long unreachableEvents = site.countLogLines(north, "event=member-region-unreachable");
        site.links.cut("mittelland/oberland");
        FailureTestSite.await(
                "the partition is detected",
                () ->
                        site.countLogLines(north, "event=member-region-unreachable")
                                > unreachableEvents);

        // when
        Outcome lookUpNorth = site.lookUp(north).outcome();
        Outcome lookUpFar = site.lookUp(far).outcome();
        long accepted = apply(north, version, "during-cut");
        site.links.heal("mittelland/oberland");

        // then
        assertThat(lookUpNorth).isEqualTo(Outcome.ANSWERED);
        assertThat(lookUpFar).isEqualTo(Outcome.ANSWERED);
        site.awaitVersion(SERVICE, accepted);
    }
}
