package org.damaskmoor.operator;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Stream;
import org.damaskmoor.operator.internal.command.CommandContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class OperatorCliTest {
    private static final String BESUCH = "{\"name\": \"besuch\", \"hosts\": [\"besuch.example\"]}";

    private final FakeNode node = new FakeNode();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();

    @AfterEach
    void closeNode() {
        node.close();
    }

    @Test
    void should_report_version_author_and_time_when_another_change_was_accepted_first() {
        // given
        run(BESUCH, "service", "apply", "--file", "-", "--changed-by", "anna");

        // when
        ExitCode code = run(BESUCH, "service", "apply", "--file", "-", "--expected-version", "0");

        // then
        assertThat(code).isEqualTo(ExitCode.CONFLICT);
        assertThat(errorOutput.toString(StandardCharsets.UTF_8))
                .contains("version 1 is in force, changed by anna at 2023-11-14T22:13:20Z");
        assertThat(errorOutput.toString(StandardCharsets.UTF_8)).contains("--expected-version 1");
    }

    @Test
    void should_replace_the_version_in_force_when_no_expected_version_is_given() {
        // given
        run(BESUCH, "service", "apply", "--file", "-");

        // when
        ExitCode code = run(BESUCH, "service", "apply", "--file", "-");

        // then
        assertThat(code).isEqualTo(ExitCode.SUCCESS);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("applied besuch version 2");
    }

    @Test
    void should_list_every_fault_when_a_configuration_has_more_than_8_kilobytes_of_faults() {
        // given
        int rules = 200;
        StringBuilder service = new StringBuilder("{\"name\": \"be such\", \"rules\": [");
        for (int i = 0; i < rules; i++) {
            service.append(i == 0 ? "" : ",").append("{\"name\":\"r").append(i);
            service.append("\",\"importance\":9}");
        }

        // when
        ExitCode code = run(service.append("]}").toString(), "service", "apply", "--file", "-");

        // then
        assertThat(code).isEqualTo(ExitCode.INVALID_CONFIGURATION);
        String text = errorOutput.toString(StandardCharsets.UTF_8);
        assertThat(text).contains("\n  name: must be");
        for (int i = 0; i < rules; i++) {
            assertThat(text).contains("\n  rules[" + i + "].importance: must be at most 3");
        }
    }

    @Test
    void should_print_how_to_repeat_the_change_when_the_outcome_is_unknown() {
        // given
        node.table.writesGetNoAnswer = true;

        // when
        ExitCode code =
                run(BESUCH, "service", "apply", "--file", "-", "--operation-id", "change-7");

        // then
        assertThat(code).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
        assertThat(errorOutput.toString(StandardCharsets.UTF_8))
                .contains("Repeat the same command with --operation-id change-7");

        // when
        node.table.writesGetNoAnswer = false;
        node.table.readsFail = false;
        ExitCode repeated =
                run(
                        BESUCH,
                        "service",
                        "apply",
                        "--file",
                        "-",
                        "--operation-id",
                        "change-7",
                        "--expected-version",
                        "0");

        // then
        assertThat(repeated).isEqualTo(ExitCode.SUCCESS);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("applied besuch version 1");
    }

    @Test
    void should_report_not_accepted_when_the_platform_is_down_or_no_node_listens() {
        // given
        node.table.readsFail = true;

        // when
        ExitCode platformDown = run(BESUCH, "service", "apply", "--file", "-");
        node.close();
        ExitCode nodeDown =
                run(BESUCH, "service", "apply", "--file", "-", "--expected-version", "0");

        // then
        assertThat(platformDown).isEqualTo(ExitCode.NOT_ACCEPTED);
        assertThat(nodeDown).isEqualTo(ExitCode.NOT_ACCEPTED);
    }

    @Test
    void should_show_a_node_as_behind_when_it_announced_an_older_configuration() {
        // given
        run(BESUCH, "service", "apply", "--file", "-");
        node.addMemberWithoutConfiguration("besuch-2");

        // when
        run("", "status");

        // then
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("behind: besuch-2\n");
    }

    @Test
    void should_print_the_rule_and_each_candidate_when_a_request_is_explained() {
        // when
        run("", "explain", "besuch", "--caller", "resident", "--path", "/routes");

        // then
        String text = output.toString(StandardCharsets.UTF_8);
        assertThat(text).contains("the rule lets in register, not resident");
        assertThat(text).containsMatch("besuch-1 +local +2\\.50");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "status --output xml|--output has the value 'xml'; allowed: text, json",
                "status --timeout-milliseconds 1|--timeout-milliseconds has the value '1'; allowed:"
                        + " 100 to 600000 milliseconds",
                "service apply --file x --expected-version new|--expected-version has the value"
                        + " 'new'; allowed: 0 to",
                "service apply|--file is required; allowed: the name of a JSON file",
                "service apply --file /none/x.json|--file has the value '/none/x.json'; allowed:",
                "explain besuch --path routes|--path has the value 'routes'; allowed:",
                "status --bogus 1|--bogus",
                "restart|restart"
            })
    void should_exit_with_2_and_name_flag_value_and_allowed_values_when_a_flag_is_invalid(
            String line, String message) {
        // when
        ExitCode code = run("", line.split(" "));

        // then
        assertThat(code.code()).isEqualTo(2);
        assertThat(errorOutput.toString(StandardCharsets.UTF_8)).contains(message);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "service apply",
                "service show",
                "service list",
                "service delete",
                "status",
                "drain",
                "explain",
                "completion",
                "help"
            })
    void should_show_examples_when_help_is_requested(String command) {
        // when
        ExitCode code =
                run(
                        "",
                        Stream.concat(Stream.of(command.split(" ")), Stream.of("--help"))
                                .toArray(String[]::new));

        // then
        assertThat(code).isEqualTo(ExitCode.SUCCESS);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("EXAMPLES");
    }

    private ExitCode run(String input, String... arguments) {
        CommandContext context =
                new CommandContext(
                        Map.of("DAMASKMOOR_OPERATOR_NODE", node.address()),
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errorOutput, true, StandardCharsets.UTF_8));
        return new OperatorCli(context).run(arguments);
    }
}
