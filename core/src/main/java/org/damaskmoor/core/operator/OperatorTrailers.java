package org.damaskmoor.core.operator;

import io.grpc.Metadata;
import io.grpc.protobuf.ProtoUtils;
import org.damaskmoor.schema.operator.Conflict;
import org.damaskmoor.schema.operator.Faults;

/**
 * The trailers by which a node tells an operator's client why a call failed.
 *
 * <pre>{@code
 * Conflict conflict = failure.getTrailers().get(OperatorTrailers.CONFLICT);
 * }</pre>
 *
 * <p>Without state, so thread-safe.
 */
public final class OperatorTrailers {
    /** Stands on FAILED_PRECONDITION: what is in force instead. */
    public static final Metadata.Key<Conflict> CONFLICT =
            Metadata.Key.of(
                    "damaskmoor-conflict-bin",
                    ProtoUtils.metadataMarshaller(Conflict.getDefaultInstance()));

    /** Stands on INVALID_ARGUMENT: every fault. */
    public static final Metadata.Key<Faults> FAULTS =
            Metadata.Key.of(
                    "damaskmoor-faults-bin",
                    ProtoUtils.metadataMarshaller(Faults.getDefaultInstance()));

    /** Stands on UNAVAILABLE and UNKNOWN when the node itself says so, and not the transport. */
    public static final Metadata.Key<String> OUTCOME =
            Metadata.Key.of("damaskmoor-outcome", Metadata.ASCII_STRING_MARSHALLER);

    /** Value of {@link #OUTCOME}: the change was certainly not written by this call. */
    public static final String NOT_ACCEPTED = "not-accepted";

    /** Value of {@link #OUTCOME}: the change may have been written. */
    public static final String UNKNOWN = "unknown";

    /** Longest metadata that a client should accept, so that all faults reach it. */
    public static final int METADATA_BYTES = 1024 * 1024;

    private OperatorTrailers() {}
}
