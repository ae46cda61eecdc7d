package org.damaskmoor.node.internal.http;

import com.google.protobuf.ByteString;
import java.util.List;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * A response to a caller. Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param headers end-to-end fields, without the length
 * @param body the complete body
 */
public record CallerReply(int status, List<HeaderField> headers, ByteString body) {}
