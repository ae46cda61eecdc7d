package org.damaskmoor.node.internal.http;

import com.google.protobuf.ByteString;
import java.util.List;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * What a caller gets. Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param headers end-to-end fields, without the length
 * @param body the whole body
 */
public record CallerReply(int status, List<HeaderField> headers, ByteString body) {}
