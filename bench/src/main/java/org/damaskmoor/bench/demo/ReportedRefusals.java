package org.damaskmoor.bench.demo;

import java.net.URI;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.damaskmoor.core.accounting.RefusalSummary;
import org.damaskmoor.platform.PlatformClient;
import org.damaskmoor.platform.PlatformClientLimits;
import org.damaskmoor.report.AccountingReader;

/**
 * Reads the refusals of this run with the code of the operators' refusal report.
 *
 * <p>Immutable and thread-safe.
 */
final class ReportedRefusals implements Supplier<RefusalSummary> {
    private final URI objectStore;
    private final long fromEpochMinute = epochMinute();

    ReportedRefusals(String objectStoreUrl) {
        this.objectStore = URI.create(objectStoreUrl);
    }

    @Override
    public RefusalSummary get() {
        try (PlatformClient client =
                new PlatformClient(PlatformClientLimits.defaults(), new SplittableRandom())) {
            return new AccountingReader(client.objectStore(objectStore))
                    .refusals(fromEpochMinute, epochMinute() + 1);
        }
    }

    private static long epochMinute() {
        return TimeUnit.MILLISECONDS.toMinutes(System.currentTimeMillis());
    }
}
