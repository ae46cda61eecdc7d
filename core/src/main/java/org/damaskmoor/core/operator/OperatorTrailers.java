package org.damaskmoor.core.operator;

import io.grpc.Metadata;
import io.grpc.protobuf.ProtoUtils;
import org.damaskmoor.schema.operator.Conflict;
import org.damaskmoor.schema.operator.Faults;

/**
 * The gRPC trailers that carry the reason of a failed call to an operator's client.
 *
 * <pre>{@code
 * Conflict conflict = failure.getTrailers().get(OperatorTrailers.CONFLICT);
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class OperatorTrailers {
    /** Sent with FAILED_PRECONDITION: the configuration that is in force instead. */
    public static final Metadata.Key<Conflict> CONFLICT =
            Metadata.Key.of(
                    "damaskmoor-conflict-bin",
                    ProtoUtils.metadataMarshaller(Conflict.getDefaultInstance()));

    /** Sent with INVALID_ARGUMENT: every fault. */
    public static final Metadata.Key<Faults> FAULTS =
            Metadata.Key.of(
                    "damaskmoor-faults-bin",
                    ProtoUtils.metadataMarshaller(Faults.getDefaultInstance()));

    /**
     * Sent with UNAVAILABLE and UNKNOWN if the status comes from the node, not from the transport.
     */
    public static final Metadata.Key<String> OUTCOME =
            Metadata.Key.of("damaskmoor-outcome", Metadata.ASCII_STRING_MARSHALLER);

    /** Value of {@link #OUTCOME}: the change was certainly not written by this call. */
    public static final String NOT_ACCEPTED = "not-accepted";

    /** Value of {@link #OUTCOME}: the change may have been written. */
    public static final String UNKNOWN = "unknown";

    /** Metadata size that a client must accept in order to receive all faults. */
    public static final int METADATA_BYTES = 1024 * 1024;

    private OperatorTrailers() {}
}
