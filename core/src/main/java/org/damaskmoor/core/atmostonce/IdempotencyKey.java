package org.damaskmoor.core.atmostonce;

import java.util.Objects;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;

/**
 * The {@code Idempotency-Key} of a caller, by which its resends join the first run.
 *
 * <p>Two callers, or one caller at two services, may use the same text without meeting. Immutable
 * and thread-safe.
 *
 * @param service the service that is called
 * @param caller the caller that chose the key
 * @param key the text as the caller sent it
 */
public record IdempotencyKey(ServiceName service, CallerName caller, String key) {
    public IdempotencyKey {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(key, "key");
    }
}
