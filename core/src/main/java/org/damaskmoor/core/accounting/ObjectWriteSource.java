package org.damaskmoor.core.accounting;

import java.util.Optional;

/**
 * Objects that are to be written one after another. After {@link #next} gave an object, exactly one
 * of {@link #onWritten} and {@link #onFailed} has to follow before it gives another. Not
 * thread-safe.
 */
public interface ObjectWriteSource {
    /** The object to write now, if any. */
    Optional<NamedObject> next(long nowNanoseconds);

    /** The object in flight stands, written now or before. */
    void onWritten();

    /** The object in flight could not be written, or it is unknown whether it was. */
    void onFailed(long nowNanoseconds);
}
