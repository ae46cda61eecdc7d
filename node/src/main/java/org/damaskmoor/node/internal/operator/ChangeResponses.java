package org.damaskmoor.node.internal.operator;

import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.time.Instant;
import org.damaskmoor.core.configuration.ChangeOutcome;
import org.damaskmoor.core.configuration.ChangeOutcome.Accepted;
import org.damaskmoor.core.configuration.ChangeOutcome.Invalid;
import org.damaskmoor.core.configuration.ChangeOutcome.NotAccepted;
import org.damaskmoor.core.configuration.ChangeOutcome.Unknown;
import org.damaskmoor.core.configuration.ChangeRequest;
import org.damaskmoor.core.configuration.ConfigurationFault;
import org.damaskmoor.core.operator.OperatorTrailers;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.operator.ApplyServiceResponse;
import org.damaskmoor.schema.operator.Conflict;
import org.damaskmoor.schema.operator.Fault;
import org.damaskmoor.schema.operator.Faults;

/**
 * Converts the outcome of a configuration change into a response or a gRPC status with trailers.
 * Stateless.
 */
final class ChangeResponses {
    private static final int MAXIMUM_FAULT_BYTES = 256 * 1024;
    private static final int FAULT_OVERHEAD_BYTES = 16;

    private ChangeResponses() {}

    /** Returns the response to an accepted change; throws the status of any other outcome. */
    static ApplyServiceResponse responseOf(ChangeOutcome outcome, ChangeRequest request) {
        if (outcome instanceof Accepted accepted) {
            return ApplyServiceResponse.newBuilder()
                    .setAccepted(accepted.inForce())
                    .setVersion(accepted.version())
                    .build();
        }
        if (outcome instanceof Invalid invalid) {
            throw invalid(invalid);
        }
        if (outcome instanceof NotAccepted notAccepted) {
            throw withOutcome(
                    Status.UNAVAILABLE.withDescription(notAccepted.problem()),
                    OperatorTrailers.NOT_ACCEPTED);
        }
        if (outcome instanceof Unknown unknown) {
            throw withOutcome(
                    Status.UNKNOWN.withDescription(
                            "The platform's table gave no answer after the write was sent, so the"
                                    + " change may be in force. Repeat it with the same operation"
                                    + " id: "
                                    + unknown.operationId()),
                    OperatorTrailers.UNKNOWN);
        }
        throw conflict(((ChangeOutcome.Conflict) outcome).inForce(), request);
    }

    private static StatusRuntimeException conflict(
            VersionedConfiguration inForce, ChangeRequest request) {
        Metadata trailers = new Metadata();
        trailers.put(
                OperatorTrailers.CONFLICT,
                Conflict.newBuilder()
                        .setVersionInForce(inForce.getVersion())
                        .setChangedBy(inForce.getChangedBy())
                        .setChangedAtEpochMilliseconds(inForce.getChangedAtEpochMilliseconds())
                        .build());
        String expected = "The change expected version " + request.expectedVersion() + ", but ";
        return Status.FAILED_PRECONDITION
                .withDescription(expected + describeVersion(inForce))
                .asRuntimeException(trailers);
    }

    private static String describeVersion(VersionedConfiguration inForce) {
        if (inForce.getVersion() == 0) {
            return "there is no such service.";
        }
        return "version "
                + inForce.getVersion()
                + (inForce.getDeleted() ? ", a deletion," : "")
                + " is in force, by "
                + inForce.getChangedBy()
                + " at "
                + Instant.ofEpochMilli(inForce.getChangedAtEpochMilliseconds())
                + ".";
    }

    private static StatusRuntimeException invalid(Invalid invalid) {
        Metadata trailers = new Metadata();
        trailers.put(OperatorTrailers.FAULTS, faults(invalid));
        ConfigurationFault first = invalid.faults().get(0);
        return Status.INVALID_ARGUMENT
                .withDescription(
                        "The configuration has "
                                + invalid.faults().size()
                                + " faults; the first is at "
                                + first.field())
                .asRuntimeException(trailers);
    }

    /** Returns all faults, or as many as fit into trailers and the number of the rest. */
    private static Faults faults(Invalid invalid) {
        Faults.Builder faults = Faults.newBuilder();
        int bytes = 0;
        for (ConfigurationFault fault : invalid.faults()) {
            Fault next =
                    Fault.newBuilder().setField(fault.field()).setProblem(fault.problem()).build();
            bytes += next.getSerializedSize() + FAULT_OVERHEAD_BYTES;
            if (bytes > MAXIMUM_FAULT_BYTES) {
                int omitted = invalid.faults().size() - faults.getFaultsCount();
                return faults.addFaults(Fault.newBuilder().setProblem(omitted + " more faults"))
                        .build();
            }
            faults.addFaults(next);
        }
        return faults.build();
    }

    private static StatusRuntimeException withOutcome(Status status, String outcome) {
        Metadata trailers = new Metadata();
        trailers.put(OperatorTrailers.OUTCOME, outcome);
        return status.asRuntimeException(trailers);
    }
}
