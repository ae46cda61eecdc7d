package org.damaskmoor.core.accounting;

import java.util.Optional;

/**
 * Supplies objects to be written one at a time. After {@link #next} returned an object, exactly one
 * of {@link #onWritten} and {@link #onFailed} must be called before it returns another. Not
 * thread-safe.
 */
public interface ObjectWriteSource {
    /** Returns the object to write now, if any. */
    Optional<NamedObject> next(long nowNanoseconds);

    /** The object in flight exists in the store, written now or earlier. */
    void onWritten();

    /** The object in flight could not be written, or it is unknown whether it was. */
    void onFailed(long nowNanoseconds);
}
