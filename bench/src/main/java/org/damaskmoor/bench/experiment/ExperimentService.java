package org.damaskmoor.bench.experiment;

import java.util.List;
import org.damaskmoor.bench.load.RequestKind;
import org.damaskmoor.schema.configuration.RequestRule;
import org.damaskmoor.schema.configuration.RetryPolicy;
import org.damaskmoor.schema.configuration.ServiceConfiguration;

/**
 * Defines the service that all experiments run: its configuration and the kinds of requests, with
 * their weights and importance. Stateless.
 */
final class ExperimentService {
    static final String NAME = "experiment";
    static final int BOOKING_WEIGHT = 5;
    static final int BOOKING_IMPORTANCE = 3;
    static final int LOOKUP_WEIGHT = 1;
    static final int LOOKUP_IMPORTANCE = 1;

    private static final int HEDGE_PERCENTILE = 95;
    private static final int TIMEOUT_MILLISECONDS = 3000;

    private ExperimentService() {}

    static ServiceConfiguration configuration() {
        return ServiceConfiguration.newBuilder()
                .setName(NAME)
                .addPathPrefixes("/")
                .addRules(
                        RequestRule.newBuilder()
                                .setName("book")
                                .addMethods("POST")
                                .setPathPrefix("/bookings")
                                .setNonIdempotent(true)
                                .setKind("booking")
                                .setWeight(BOOKING_WEIGHT)
                                .setImportance(BOOKING_IMPORTANCE)
                                .setTimeoutMilliseconds(TIMEOUT_MILLISECONDS))
                .addRules(
                        RequestRule.newBuilder()
                                .setName("look-up")
                                .setPathPrefix("/")
                                .setKind("lookup")
                                .setWeight(LOOKUP_WEIGHT)
                                .setImportance(LOOKUP_IMPORTANCE)
                                .setTimeoutMilliseconds(TIMEOUT_MILLISECONDS))
                .setRetry(RetryPolicy.newBuilder().setHedgePercentile(HEDGE_PERCENTILE))
                .build();
    }

    static List<RequestKind> requestKinds(double bookingShare) {
        List<String> callers = List.of("resident", "staff");
        return List.of(
                new RequestKind(1 - bookingShare, "/visits", false, callers),
                new RequestKind(bookingShare, "/bookings", true, callers));
    }
}
