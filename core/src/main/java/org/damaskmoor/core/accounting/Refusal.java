package org.damaskmoor.core.accounting;

import java.util.Objects;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * One refused request, as recorded for accounting. Immutable and thread-safe.
 *
 * @param service the requested service, or {@link #NO_SERVICE}
 * @param caller the caller, or {@link #NO_CALLER}
 * @param reason why it was refused
 * @param epochMinute time of the refusal, in minutes since the epoch
 * @param weight the request's weight
 */
public record Refusal(
        ServiceName service,
        CallerName caller,
        RefusalReason reason,
        long epochMinute,
        long weight) {
    /** Placeholder for the service of a request that matched none. */
    public static final ServiceName NO_SERVICE = new ServiceName("(none)");

    /** Placeholder for the caller of a request that named none. */
    public static final CallerName NO_CALLER = new CallerName("(unknown)");

    public Refusal {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(reason, "reason");
    }
}
