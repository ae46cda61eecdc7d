package org.damaskmoor.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.damaskmoor.schema.configuration.CallerAddressRange;
import org.damaskmoor.schema.configuration.CallerIdentification;
import org.damaskmoor.schema.configuration.RequestRule;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.junit.jupiter.api.Test;

class ServiceMatcherTest {
    private static final String[] SEGMENTS = {"", "a", "ab", "b", "A"};
    private static final String[] HOSTS = {"a.example", "B.example", "c", "[::1]", ""};
    private static final String[] METHODS = {"GET", "POST", "PATCH", "PUT", "BREW"};

    @Property(tries = 400, seed = "23")
    void should_match_as_the_reference_implementation_does(@ForAll long seed) {
        // given
        Random random = new Random(seed);
        List<VersionedConfiguration> services = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            services.add(randomService(random, "service-" + i));
        }
        ServiceMatcher matcher = ServiceMatcher.of(services);

        for (int i = 0; i < 40; i++) {
            String host = pick(random, HOSTS) + (random.nextBoolean() ? ":80" : "");
            String path = randomPath(random) + (random.nextBoolean() ? "?b=/a/b" : "");
            String method = pick(random, METHODS);

            // when
            MatchedService found = matcher.find(host, path);

            // then
            ServiceConfiguration expected = referenceService(services, host, path);
            assertThat(found == null ? "" : found.name()).isEqualTo(expected.getName());
            if (found != null) {
                MatchedRule rule = found.findRule(method, path);
                RequestRule reference = referenceRule(expected, method, path);
                assertThat(rule.name()).isEqualTo(reference.getName());
                assertThat(rule.nonIdempotent()).isEqualTo(reference.getNonIdempotent());
            }
        }
    }

    private static String pick(Random random, String[] choices) {
        return choices[random.nextInt(choices.length)];
    }

    private static String randomPath(Random random) {
        StringBuilder path = new StringBuilder();
        for (int i = random.nextInt(4); i >= 0; i--) {
            path.append('/').append(pick(random, SEGMENTS));
        }
        return path.toString();
    }

    private static VersionedConfiguration randomService(Random random, String name) {
        ServiceConfiguration.Builder service = ServiceConfiguration.newBuilder().setName(name);
        if (random.nextInt(3) == 0) {
            service.addHosts(pick(random, HOSTS).toLowerCase(Locale.ROOT));
        }
        service.addPathPrefixes(randomPath(random)).addPathPrefixes(randomPath(random));
        for (int i = 0; i < 4; i++) {
            RequestRule.Builder rule = RequestRule.newBuilder().setName("rule-" + i);
            if (random.nextBoolean()) {
                rule.addMethods(METHODS[random.nextInt(METHODS.length - 1)]);
            }
            rule.setPathPrefix(random.nextInt(4) == 0 ? "" : randomPath(random));
            service.addRules(rule.setNonIdempotent(random.nextBoolean()));
        }
        return VersionedConfiguration.newBuilder().setService(service).setVersion(1).build();
    }

    private static ServiceConfiguration referenceService(
            List<VersionedConfiguration> services, String field, String path) {
        String host = field.replaceAll(":80$", "").toLowerCase(Locale.ROOT);
        for (VersionedConfiguration candidate : services) {
            if (candidate.getService().getHostsList().contains(host)) {
                return candidate.getService();
            }
        }
        ServiceConfiguration best = ServiceConfiguration.getDefaultInstance();
        int longest = -1;
        for (VersionedConfiguration candidate : services) {
            for (String prefix : candidate.getService().getPathPrefixesList()) {
                if (referenceCovers(prefix, path) && prefix.length() > longest) {
                    best = candidate.getService();
                    longest = prefix.length();
                }
            }
        }
        return best;
    }

    private static boolean referenceCovers(String prefix, String pathAndQuery) {
        String path = pathAndQuery.replaceAll("\\?.*", "");
        String withSlash = prefix.endsWith("/") || prefix.isEmpty() ? prefix : prefix + "/";
        return path.equals(prefix) || path.startsWith(withSlash);
    }

    private static RequestRule referenceRule(
            ServiceConfiguration service, String method, String path) {
        for (RequestRule rule : service.getRulesList()) {
            boolean methodMatches =
                    rule.getMethodsCount() == 0 || rule.getMethodsList().contains(method);
            if (methodMatches && referenceCovers(rule.getPathPrefix(), path)) {
                return rule;
            }
        }
        boolean idempotent = method.equals("GET") || method.equals("PUT");
        return RequestRule.newBuilder().setNonIdempotent(!idempotent).build();
    }

    @Test
    void should_identify_the_caller_by_header_and_then_by_address_range() {
        // given
        CallerIdentification identification =
                CallerIdentification.newBuilder()
                        .addAddressRanges(range("10.1.0.0/17", "crew"))
                        .addAddressRanges(range("2001:db8::/33", "staff"))
                        .build();
        RequestRule rule = RequestRule.newBuilder().addAllowedCallers("crew").build();
        ServiceConfiguration service =
                ServiceConfiguration.newBuilder()
                        .setName("besuch")
                        .setCallerIdentification(identification)
                        .addRules(rule)
                        .build();
        VersionedConfiguration versioned =
                VersionedConfiguration.newBuilder().setService(service).build();

        // when
        MatchedService matched = ServiceMatcher.of(List.of(versioned)).findByName("besuch");

        // then
        byte[] inRange = {10, 1, 127, 9};
        byte[] outOfRange = {10, 1, -128, 9};
        byte[] ipv4MappedInRange = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, -1, -1, 10, 1, 0, 1};
        byte[] ipv6InRange = {0x20, 1, 0x0d, (byte) 0xb8, 0x7f, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1};
        assertThat(matched.callerOf("anna", inRange)).isEqualTo("anna");
        assertThat(matched.callerOf(null, inRange)).isEqualTo("crew");
        assertThat(matched.callerOf("", ipv4MappedInRange)).isEqualTo("crew");
        assertThat(matched.callerOf(null, ipv6InRange)).isEqualTo("staff");
        assertThat(matched.callerOf(null, outOfRange)).isEqualTo("unidentified");
        assertThat(matched.findRule("GET", "/").allows("crew")).isTrue();
        assertThat(matched.findRule("GET", "/").allows("anna")).isFalse();
    }

    private static CallerAddressRange range(String range, String caller) {
        return CallerAddressRange.newBuilder().setRange(range).setCaller(caller).build();
    }
}
