package org.damaskmoor.operator.internal.call;

import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.time.Instant;
import java.util.stream.Collectors;
import org.damaskmoor.core.operator.OperatorTrailers;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.schema.operator.Conflict;
import org.damaskmoor.schema.operator.Faults;

/**
 * Converts the status and trailers of a failed call into an {@link OperatorException}.
 *
 * <p>Invariant: a change is reported as not accepted only if the node said so or no connection was
 * opened. Immutable and thread-safe.
 */
public final class StatusExceptionMapper {
    private final String step;
    private final String node;

    /**
     * Creates a mapper for one call.
     *
     * @param step the step that was called, for example {@code apply}
     * @param node the node that was called
     */
    public StatusExceptionMapper(String step, String node) {
        this.step = step;
        this.node = node;
    }

    /** Converts the failure of a call that changes nothing. */
    public OperatorException toException(StatusRuntimeException failure) {
        if (failure.getStatus().getCode() == Status.Code.NOT_FOUND) {
            return failed(failure, "Check the name: list the services, or ask for the status.");
        }
        return failed(
                failure,
                "Check that the node runs, that --node names its operator port, and that the"
                        + " TLS settings here match those of the node.");
    }

    /**
     * Converts the failure of a change.
     *
     * @param repetition the flags with which the same change can be repeated
     */
    public OperatorException toChangeException(StatusRuntimeException failure, String repetition) {
        Metadata trailers = failure.getTrailers();
        Metadata present = trailers == null ? new Metadata() : trailers;
        Conflict conflict = present.get(OperatorTrailers.CONFLICT);
        if (conflict != null) {
            return conflict(failure, conflict);
        }
        Faults faults = present.get(OperatorTrailers.FAULTS);
        if (faults != null) {
            return invalid(faults);
        }
        String outcome = present.get(OperatorTrailers.OUTCOME);
        if (OperatorTrailers.NOT_ACCEPTED.equals(outcome) || neverSent(failure)) {
            return notAccepted(failure, repetition);
        }
        if (rejectedByTransport(failure)) {
            return failed(
                    failure, "Check that the client's and the node's versions are compatible.");
        }
        return unknown(failure, repetition);
    }

    private OperatorException conflict(StatusRuntimeException failure, Conflict conflict) {
        String happened =
                conflict.getVersionInForce() == 0
                        ? "Conflict: there is no such service."
                        : "Conflict: version "
                                + conflict.getVersionInForce()
                                + " is in force, changed by "
                                + conflict.getChangedBy()
                                + " at "
                                + Instant.ofEpochMilli(conflict.getChangedAtEpochMilliseconds())
                                + ".";
        return new OperatorException(
                ExitCode.CONFLICT,
                happened,
                description(failure) + " Nothing was changed.",
                "Look at what is in force with 'service show', merge your change into it, and apply"
                        + " it with --expected-version "
                        + conflict.getVersionInForce()
                        + ".");
    }

    private static OperatorException invalid(Faults faults) {
        String list =
                faults.getFaultsList().stream()
                        .map(fault -> fault.getField() + ": " + fault.getProblem())
                        .collect(Collectors.joining("\n  ", "\n  ", ""));
        return new OperatorException(
                ExitCode.INVALID_CONFIGURATION,
                "The configuration was not accepted: it has faults.",
                "These fields are wrong:" + list,
                "Correct them and apply again; nothing was changed.");
    }

    private OperatorException notAccepted(StatusRuntimeException failure, String repetition) {
        return new OperatorException(
                ExitCode.NOT_ACCEPTED,
                "The change was not accepted by " + node + ".",
                description(failure),
                "Try again with " + repetition + ", at another node if this one is down.");
    }

    private OperatorException unknown(StatusRuntimeException failure, String repetition) {
        return new OperatorException(
                ExitCode.OUTCOME_UNKNOWN,
                "It is unknown whether the change was accepted; step " + step + " at " + node + ".",
                description(failure),
                "Repeat the same command with "
                        + repetition
                        + ": the change is then applied once, whether or not it was accepted"
                        + " before.");
    }

    private OperatorException failed(StatusRuntimeException failure, String advice) {
        return new OperatorException(
                ExitCode.FAILED,
                "The step " + step + " failed at " + node + ".",
                description(failure),
                advice);
    }

    private static String description(StatusRuntimeException failure) {
        Status status = failure.getStatus();
        String text =
                status.getDescription() == null
                        ? status.getCode().toString()
                        : status.getDescription();
        Throwable cause = failure.getCause();
        return cause == null || cause.getMessage() == null
                ? text
                : text + " (" + cause.getMessage() + ")";
    }

    /** Returns whether no connection could be opened, so that nothing was sent. */
    private static boolean neverSent(StatusRuntimeException failure) {
        if (failure.getStatus().getCode() != Status.Code.UNAVAILABLE) {
            return false;
        }
        for (Throwable cause = failure.getCause(); cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException
                    || cause instanceof NoRouteToHostException
                    || cause instanceof UnknownHostException) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the transport rejected the call before the node processed it. */
    private static boolean rejectedByTransport(StatusRuntimeException failure) {
        return switch (failure.getStatus().getCode()) {
            case UNIMPLEMENTED, RESOURCE_EXHAUSTED, UNAUTHENTICATED, PERMISSION_DENIED -> true;
            default -> false;
        };
    }
}
