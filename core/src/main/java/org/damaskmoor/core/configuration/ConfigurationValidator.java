package org.damaskmoor.core.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.damaskmoor.core.configuration.internal.AddressRange;
import org.damaskmoor.core.configuration.internal.HostNames;
import org.damaskmoor.core.configuration.internal.HttpMethods;
import org.damaskmoor.schema.configuration.AdmissionPolicy;
import org.damaskmoor.schema.configuration.CallerAddressRange;
import org.damaskmoor.schema.configuration.CallerIdentification;
import org.damaskmoor.schema.configuration.CallerWeight;
import org.damaskmoor.schema.configuration.RequestRule;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.ServiceLevelObjective;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/**
 * Validates a change before it is written and reports every fault with the path of its field.
 *
 * <p>Stateless and thread-safe.
 */
public final class ConfigurationValidator {
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern HOST = Pattern.compile("[a-z0-9_.-]{1,253}|\\[[0-9a-f:.]+\\]");
    private static final Pattern HEADER = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final int MAXIMUM_IMPORTANCE = 3;
    private static final int MAXIMUM_TIMEOUT_MILLISECONDS = 3_600_000;
    private static final int MAXIMUM_CALLER_CHARACTERS = 255;
    private static final int MAXIMUM_WEIGHT = 1_000_000;
    private static final int MILLION = 1_000_000;
    private static final int MAXIMUM_BYTES = 256 * 1024;

    /**
     * Validates a change.
     *
     * @param known all configurations that the node has stored, to find conflicts between services
     * @return every fault; empty: the change may be written
     */
    public List<ConfigurationFault> validate(
            ChangeRequest request, List<VersionedConfiguration> known) {
        Faults faults = new Faults();
        ServiceConfiguration service = request.service();
        faults.check(
                NAME.matcher(service.getName()).matches(),
                "name",
                "must be 1 to 63 lower-case letters, digits and dashes, without a dash at an end");
        faults.check(!request.operationId().isEmpty(), "operation_id", "must not be empty");
        faults.check(!request.operator().isEmpty(), "operator", "must not be empty");
        if (!request.deletion()) {
            validateContent(service, faults);
            validateConflicts(service, known, faults);
        }
        return faults.found;
    }

    private static void validateContent(ServiceConfiguration service, Faults faults) {
        faults.check(
                service.getSerializedSize() <= MAXIMUM_BYTES,
                "service",
                "must be at most " + MAXIMUM_BYTES + " bytes long");
        validateHosts(service, faults);
        validatePrefixes(service, faults);
        Set<String> names = new HashSet<>();
        for (int i = 0; i < service.getRulesCount(); i++) {
            validateRule(service.getRules(i), "rules[" + i + "].", names, faults);
        }
        validateCallers(service.getCallerIdentification(), faults);
        faults.atMost(service.getRouting().getEjectedPercent(), 100, "routing.ejected_percent");
        faults.atMost(
                service.getRouting().getSlowStartMilliseconds(),
                MAXIMUM_TIMEOUT_MILLISECONDS,
                "routing.slow_start_milliseconds");
        faults.atMost(
                service.getRouting().getSampledCandidates(), 100, "routing.sampled_candidates");
        validateWeights(service.getAdmission(), faults);
        faults.atMost(service.getRetry().getBudgetPercent(), 100, "retry.budget_percent");
        faults.atMost(service.getRetry().getHedgePercentile(), 99, "retry.hedge_percentile");
        validateObjectives(service, faults);
    }

    private static void validateHosts(ServiceConfiguration service, Faults faults) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < service.getHostsCount(); i++) {
            String field = "hosts[" + i + "]";
            String host = HostNames.normalise(service.getHosts(i));
            faults.check(HOST.matcher(host).matches(), field, "must be a host name without a port");
            faults.check(seen.add(host), field, "stands twice: " + host);
        }
    }

    private static void validatePrefixes(ServiceConfiguration service, Faults faults) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < service.getPathPrefixesCount(); i++) {
            String field = "path_prefixes[" + i + "]";
            String prefix = service.getPathPrefixes(i);
            validatePrefix(prefix, field, faults);
            faults.check(seen.add(prefix), field, "stands twice: " + prefix);
        }
    }

    private static void validatePrefix(String prefix, String field, Faults faults) {
        boolean printable =
                prefix.chars().allMatch(character -> character > ' ' && character < 127);
        faults.check(
                prefix.startsWith("/")
                        && printable
                        && !prefix.contains("?")
                        && !prefix.contains("#"),
                field,
                "must begin with / and hold neither blanks, ? nor #");
    }

    private static void validateRule(
            RequestRule rule, String path, Set<String> names, Faults faults) {
        faults.check(!rule.getName().isEmpty(), path + "name", "must not be empty");
        faults.check(
                rule.getName().isEmpty() || names.add(rule.getName()),
                path + "name",
                "stands twice: " + rule.getName());
        for (int i = 0; i < rule.getMethodsCount(); i++) {
            faults.check(
                    HttpMethods.isKnown(rule.getMethods(i)),
                    path + "methods[" + i + "]",
                    "unknown method \"" + rule.getMethods(i) + "\"; known: " + HttpMethods.KNOWN);
        }
        if (!rule.getPathPrefix().isEmpty()) {
            validatePrefix(rule.getPathPrefix(), path + "path_prefix", faults);
        }
        faults.atMost(rule.getImportance(), MAXIMUM_IMPORTANCE, path + "importance");
        faults.atMost(rule.getWeight(), MAXIMUM_WEIGHT, path + "weight");
        faults.atMost(
                rule.getTimeoutMilliseconds(),
                MAXIMUM_TIMEOUT_MILLISECONDS,
                path + "timeout_milliseconds");
        for (int i = 0; i < rule.getAllowedCallersCount(); i++) {
            validateCaller(rule.getAllowedCallers(i), path + "allowed_callers[" + i + "]", faults);
        }
        faults.check(
                !rule.getClaim() || rule.getNonIdempotent(),
                path + "claim",
                "is only for rules with non_idempotent");
    }

    private static void validateCaller(String caller, String field, Faults faults) {
        faults.check(
                !caller.isEmpty() && caller.length() <= MAXIMUM_CALLER_CHARACTERS,
                field,
                "must be 1 to " + MAXIMUM_CALLER_CHARACTERS + " characters long");
    }

    private static void validateCallers(CallerIdentification identification, Faults faults) {
        String header = identification.getHeader();
        faults.check(
                header.isEmpty() || HEADER.matcher(header).matches(),
                "caller_identification.header",
                "must be the name of a header");
        for (int i = 0; i < identification.getAddressRangesCount(); i++) {
            CallerAddressRange range = identification.getAddressRanges(i);
            String field = "caller_identification.address_ranges[" + i + "].";
            faults.check(
                    AddressRange.parse(range.getRange()).isPresent(),
                    field + "range",
                    "must be an address and a prefix length with no bit set beyond it, for example"
                            + " 10.0.0.0/8");
            validateCaller(range.getCaller(), field + "caller", faults);
        }
    }

    private static void validateWeights(AdmissionPolicy admission, Faults faults) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < admission.getCallerWeightsCount(); i++) {
            CallerWeight weight = admission.getCallerWeights(i);
            String field = "admission.caller_weights[" + i + "].";
            validateCaller(weight.getCaller(), field + "caller", faults);
            faults.check(
                    seen.add(weight.getCaller()),
                    field + "caller",
                    "stands twice: " + weight.getCaller());
            faults.check(weight.getWeight() != 0, field + "weight", "must be at least 1");
            faults.atMost(weight.getWeight(), MAXIMUM_WEIGHT, field + "weight");
        }
    }

    private static void validateObjectives(ServiceConfiguration service, Faults faults) {
        Set<String> kinds = new HashSet<>();
        for (RequestRule rule : service.getRulesList()) {
            kinds.add(rule.getKind().isEmpty() ? rule.getName() : rule.getKind());
        }
        Set<ServiceLevelObjective> seen = new HashSet<>();
        for (int i = 0; i < service.getObjectivesCount(); i++) {
            ServiceLevelObjective objective = service.getObjectives(i);
            String field = "objectives[" + i + "].";
            String kind = objective.getKind();
            faults.check(
                    kind.isEmpty() || kinds.contains(kind),
                    field + "kind",
                    "no rule has the kind \"" + kind + "\"");
            int target = objective.getTargetPartsPerMillion();
            faults.check(
                    target > 0 && target < MILLION,
                    field + "target_parts_per_million",
                    "must be 1 to 999999");
            faults.check(
                    objective.getLatencyMilliseconds() != 0,
                    field + "latency_milliseconds",
                    "must be at least 1");
            faults.atMost(
                    objective.getLatencyMilliseconds(),
                    MAXIMUM_TIMEOUT_MILLISECONDS,
                    field + "latency_milliseconds");
            faults.check(seen.add(objective), "objectives[" + i + "]", "stands twice");
        }
    }

    private static void validateConflicts(
            ServiceConfiguration service, List<VersionedConfiguration> known, Faults faults) {
        for (VersionedConfiguration other : known) {
            boolean same = other.getService().getName().equals(service.getName());
            if (!same && !other.getDeleted()) {
                validateConflict(service, other.getService(), faults);
            }
        }
    }

    private static void validateConflict(
            ServiceConfiguration service, ServiceConfiguration other, Faults faults) {
        Set<String> hosts = new HashSet<>();
        other.getHostsList().forEach(host -> hosts.add(HostNames.normalise(host)));
        for (int i = 0; i < service.getHostsCount(); i++) {
            faults.check(
                    !hosts.contains(HostNames.normalise(service.getHosts(i))),
                    "hosts[" + i + "]",
                    "already selects the service " + other.getName());
        }
        for (int i = 0; i < service.getPathPrefixesCount(); i++) {
            faults.check(
                    !other.getPathPrefixesList().contains(service.getPathPrefixes(i)),
                    "path_prefixes[" + i + "]",
                    "already selects the service " + other.getName());
        }
    }

    /** Collects faults. */
    private static final class Faults {
        final List<ConfigurationFault> found = new ArrayList<>();

        void check(boolean holds, String field, String problem) {
            if (!holds) {
                found.add(new ConfigurationFault(field, problem));
            }
        }

        void atMost(int value, int bound, String field) {
            check(
                    Integer.compareUnsigned(value, bound) <= 0,
                    field,
                    "must be at most " + bound + ", but is " + Integer.toUnsignedString(value));
        }
    }
}
