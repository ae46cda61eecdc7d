package org.damaskmoor.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.damaskmoor.schema.configuration.AdmissionPolicy;
import org.damaskmoor.schema.configuration.CallerAddressRange;
import org.damaskmoor.schema.configuration.CallerIdentification;
import org.damaskmoor.schema.configuration.CallerWeight;
import org.damaskmoor.schema.configuration.RequestRule;
import org.damaskmoor.schema.configuration.RetryPolicy;
import org.damaskmoor.schema.configuration.RoutingPolicy;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.ServiceLevelObjective;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.junit.jupiter.api.Test;

class ConfigurationValidatorTest {
    private final ConfigurationValidator validator = new ConfigurationValidator();

    private List<String> fieldsOf(ServiceConfiguration service) {
        VersionedConfiguration other =
                VersionedConfiguration.newBuilder()
                        .setService(
                                ServiceConfiguration.newBuilder()
                                        .setName("register")
                                        .addHosts("register.example")
                                        .addPathPrefixes("/register"))
                        .build();
        ChangeRequest request = new ChangeRequest(service, false, 0, "operation", "anna", 1);
        return validator.validate(request, List.of(other)).stream()
                .map(ConfigurationFault::field)
                .toList();
    }

    @Test
    void should_list_every_fault_with_its_field_when_there_are_several() {
        // given
        ServiceConfiguration service = faultyService();

        // when
        List<String> fields = fieldsOf(service);

        // then
        assertThat(fields)
                .containsExactly(
                        "name",
                        "hosts[1]",
                        "hosts[2]",
                        "hosts[3]",
                        "path_prefixes[0]",
                        "path_prefixes[1]",
                        "rules[0].methods[1]",
                        "rules[0].importance",
                        "rules[0].claim",
                        "rules[1].name",
                        "rules[1].weight",
                        "caller_identification.header",
                        "caller_identification.address_ranges[1].range",
                        "caller_identification.address_ranges[2].range",
                        "caller_identification.address_ranges[2].caller",
                        "caller_identification.address_ranges[3].range",
                        "routing.ejected_percent",
                        "admission.caller_weights[0].caller",
                        "admission.caller_weights[0].weight",
                        "retry.budget_percent",
                        "retry.hedge_percentile",
                        "objectives[0].kind",
                        "objectives[0].target_parts_per_million",
                        "objectives[0].latency_milliseconds");
    }

    private static ServiceConfiguration faultyService() {
        return ServiceConfiguration.newBuilder()
                .setName("Besuch")
                .addHosts("besuch.example")
                .addHosts("BESUCH.example")
                .addHosts("besuch.example:80")
                .addHosts("register.example")
                .addPathPrefixes("visits")
                .addPathPrefixes("/register")
                .addRules(
                        RequestRule.newBuilder()
                                .setName("look")
                                .addMethods("GET")
                                .addMethods("FETCH")
                                .setImportance(4)
                                .setClaim(true))
                .addRules(RequestRule.newBuilder().setName("look").setWeight(-1))
                .setCallerIdentification(
                        CallerIdentification.newBuilder()
                                .setHeader("a b")
                                .addAddressRanges(range("10.0.0.0/8", "crew"))
                                .addAddressRanges(range("10.0.0.1/8", "crew"))
                                .addAddressRanges(range("10.0.0.0/33", ""))
                                .addAddressRanges(range("bern.example/8", "crew")))
                .setRouting(RoutingPolicy.newBuilder().setEjectedPercent(101))
                .setAdmission(
                        AdmissionPolicy.newBuilder().addCallerWeights(CallerWeight.newBuilder()))
                .setRetry(RetryPolicy.newBuilder().setBudgetPercent(101).setHedgePercentile(100))
                .addObjectives(
                        ServiceLevelObjective.newBuilder()
                                .setKind("book")
                                .setTargetPartsPerMillion(1_000_000))
                .build();
    }

    private static CallerAddressRange range(String range, String caller) {
        return CallerAddressRange.newBuilder().setRange(range).setCaller(caller).build();
    }

    @Test
    void should_find_no_fault_when_the_configuration_is_valid() {
        // given
        ServiceConfiguration service =
                ServiceConfiguration.newBuilder()
                        .setName("besuch")
                        .addHosts("besuch.example")
                        .addPathPrefixes("/visits")
                        .addRules(
                                RequestRule.newBuilder()
                                        .setName("book")
                                        .addMethods("POST")
                                        .setNonIdempotent(true)
                                        .setClaim(true))
                        .addObjectives(
                                ServiceLevelObjective.newBuilder()
                                        .setKind("book")
                                        .setTargetPartsPerMillion(999_000)
                                        .setLatencyMilliseconds(300))
                        .build();

        // then
        assertThat(fieldsOf(service)).isEmpty();
    }
}
