package org.damaskmoor.core.accounting;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * An object to be written once under an idempotent name. Immutable and thread-safe.
 *
 * @param name the object's name
 * @param content its bytes
 */
public record NamedObject(String name, ByteString content) {
    public NamedObject {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
    }
}
