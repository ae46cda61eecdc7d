package org.damaskmoor.relay.internal.link;

import com.google.protobuf.ByteString;

/** What links tell other nodes of the configuration in force. Confined to the event loop. */
public interface ConfigurationSource {
    /** Its version; 0 if there is none. */
    long version();

    /** Its text, compressed. */
    ByteString compressedText();
}
