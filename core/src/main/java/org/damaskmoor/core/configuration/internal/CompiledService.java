package org.damaskmoor.core.configuration.internal;

import java.util.List;
import java.util.Set;
import org.damaskmoor.core.configuration.MatchedRule;
import org.damaskmoor.core.configuration.MatchedService;
import org.damaskmoor.schema.configuration.CallerAddressRange;
import org.damaskmoor.schema.configuration.RequestRule;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/**
 * A service whose rules are compiled for matching without allocation. Immutable and thread-safe.
 */
public final class CompiledService implements MatchedService {
    private static final String DEFAULT_CALLER_HEADER = "Damaskmoor-Caller";
    private static final String UNMATCHED_KIND = "unmatched";
    private static final MatchedRule UNMATCHED_IDEMPOTENT = unmatched(false);
    private static final MatchedRule UNMATCHED_NON_IDEMPOTENT = unmatched(true);

    private final VersionedConfiguration versioned;
    private final List<CompiledRule> rules;
    private final List<CallerRange> ranges;

    private record CompiledRule(int methods, String prefix, MatchedRule matched) {}

    private record CallerRange(AddressRange range, String caller) {}

    /** Compiles the rules; an address range that cannot be parsed is skipped. */
    public CompiledService(VersionedConfiguration versioned) {
        this.versioned = versioned;
        ServiceConfiguration service = versioned.getService();
        this.rules = service.getRulesList().stream().map(CompiledService::compile).toList();
        this.ranges =
                service.getCallerIdentification().getAddressRangesList().stream()
                        .filter(range -> AddressRange.parse(range.getRange()).isPresent())
                        .map(CompiledService::compile)
                        .toList();
    }

    private static CompiledRule compile(RequestRule rule) {
        MatchedRule matched =
                new MatchedRule(
                        rule.getName(),
                        rule.getKind().isEmpty() ? rule.getName() : rule.getKind(),
                        rule.getNonIdempotent(),
                        rule.getClaim(),
                        Math.max(1, rule.getWeight()),
                        rule.getImportance(),
                        rule.getTimeoutMilliseconds(),
                        Set.copyOf(rule.getAllowedCallersList()));
        return new CompiledRule(
                HttpMethods.maskOf(rule.getMethodsList()), rule.getPathPrefix(), matched);
    }

    private static CallerRange compile(CallerAddressRange range) {
        AddressRange parsed = AddressRange.parse(range.getRange()).orElseThrow();
        return new CallerRange(parsed, range.getCaller());
    }

    private static MatchedRule unmatched(boolean nonIdempotent) {
        return new MatchedRule("", UNMATCHED_KIND, nonIdempotent, false, 1, 1, 0, Set.of());
    }

    @Override
    public String name() {
        return versioned.getService().getName();
    }

    @Override
    public long version() {
        return versioned.getVersion();
    }

    @Override
    public ServiceConfiguration configuration() {
        return versioned.getService();
    }

    @Override
    public String callerHeader() {
        String header = configuration().getCallerIdentification().getHeader();
        return header.isEmpty() ? DEFAULT_CALLER_HEADER : header;
    }

    @Override
    public MatchedRule findRule(String method, String path) {
        int bit = HttpMethods.bitOf(method);
        for (int i = 0; i < rules.size(); i++) {
            CompiledRule rule = rules.get(i);
            boolean methodMatches = rule.methods == -1 || (rule.methods & bit) != 0;
            if (methodMatches && PathPrefixes.covers(rule.prefix, path)) {
                return rule.matched;
            }
        }
        return HttpMethods.isIdempotent(method) ? UNMATCHED_IDEMPOTENT : UNMATCHED_NON_IDEMPOTENT;
    }

    @Override
    public String callerOf(String headerValue, byte[] address) {
        if (headerValue != null && !headerValue.isEmpty()) {
            return headerValue;
        }
        for (int i = 0; i < ranges.size(); i++) {
            CallerRange range = ranges.get(i);
            if (range.range.contains(address)) {
                return range.caller;
            }
        }
        return UNIDENTIFIED_CALLER;
    }
}
