package org.damaskmoor.core.accounting;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * An object to be written once; writing it again under the same name has no further effect.
 * Immutable and thread-safe.
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
