package org.damaskmoor.core.atmostonce;

import java.util.Objects;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;

/**
 * A caller's {@code Idempotency-Key}, by which resends of a request join its first run.
 *
 * <p>The scope is one caller at one service: others can use the same text without a collision.
 * Immutable and thread-safe.
 *
 * @param service the service that is called
 * @param caller the caller that chose the key
 * @param key the text as sent by the caller
 */
public record IdempotencyKey(ServiceName service, CallerName caller, String key) {
    public IdempotencyKey {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(key, "key");
    }
}
