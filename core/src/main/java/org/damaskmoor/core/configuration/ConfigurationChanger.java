package org.damaskmoor.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.damaskmoor.core.configuration.ChangeOutcome.Accepted;
import org.damaskmoor.core.configuration.ChangeOutcome.Conflict;
import org.damaskmoor.core.configuration.ChangeOutcome.Invalid;
import org.damaskmoor.core.configuration.ChangeOutcome.NotAccepted;
import org.damaskmoor.core.configuration.ChangeOutcome.Unknown;
import org.damaskmoor.core.configuration.ServiceTable.Row;
import org.damaskmoor.core.configuration.internal.ConfigurationRows;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/**
 * Executes operators' configuration changes at the node that received them.
 *
 * <pre>{@code
 * changer.apply(request, othersConfigurations).thenAccept(outcome -> ...);
 * }</pre>
 *
 * <p>Invariants: accepted means written; the outcome of a write whose answer was lost is determined
 * by its operation id, and never reported as not accepted; a change is written at most once,
 * because every write is conditional on the row that was read. Thread-safe if the table and the
 * listener are.
 */
public final class ConfigurationChanger {
    private static final int MAXIMUM_ATTEMPTS = 4;

    private final ServiceTable table;
    private final ConfigurationValidator validator;
    private final Consumer<VersionedConfiguration> acceptedListener;

    /**
     * Creates a changer.
     *
     * @param acceptedListener receives each accepted change, to apply and announce it
     */
    public ConfigurationChanger(
            ServiceTable table,
            ConfigurationValidator validator,
            Consumer<VersionedConfiguration> acceptedListener) {
        this.table = table;
        this.validator = validator;
        this.acceptedListener = acceptedListener;
    }

    /**
     * Executes one change; a failure of the table never completes the result exceptionally.
     *
     * @param known all configurations that the node has stored, to find conflicts between services
     */
    public CompletableFuture<ChangeOutcome> apply(
            ChangeRequest request, List<VersionedConfiguration> known) {
        List<ConfigurationFault> faults = validator.validate(request, known);
        if (!faults.isEmpty()) {
            return CompletableFuture.completedFuture(new Invalid(faults));
        }
        return new Run(request).start().whenComplete(this::notifyListener);
    }

    private void notifyListener(ChangeOutcome outcome, Throwable problem) {
        if (outcome instanceof Accepted accepted) {
            acceptedListener.accept(accepted.inForce());
        }
    }

    /** Result of a call to the table. */
    private record Answer<T>(T value, Throwable problem) {}

    /** One change in progress. Its steps never run concurrently, so it needs no synchronisation. */
    private final class Run {
        private final ChangeRequest request;
        private boolean mayBeWritten;
        private int attempts;

        Run(ChangeRequest request) {
            this.request = request;
        }

        CompletableFuture<ChangeOutcome> start() {
            return table.read(request.name())
                    .handle((row, problem) -> new Answer<>(row, problem))
                    .thenCompose(this::decide);
        }

        private CompletableFuture<ChangeOutcome> decide(Answer<Optional<Row>> answer) {
            if (answer.problem != null) {
                return onFailure(answer.problem);
            }
            Optional<Row> row = answer.value;
            VersionedConfiguration inForce =
                    row.map(Row::configuration).orElse(VersionedConfiguration.getDefaultInstance());
            long written = ConfigurationRows.versionOf(inForce, request.operationId());
            if (written > 0) {
                return done(new Accepted(written, inForce));
            }
            if (!ConfigurationRows.isExpected(inForce, request)) {
                return done(new Conflict(inForce));
            }
            return write(row, ConfigurationRows.nextRow(inForce, request));
        }

        private CompletableFuture<ChangeOutcome> write(
                Optional<Row> row, VersionedConfiguration next) {
            return table.compareAndSet(request.name(), row.map(Row::tag), next)
                    .handle((written, problem) -> new Answer<>(written, problem))
                    .thenCompose(answer -> afterWrite(answer, next));
        }

        private CompletableFuture<ChangeOutcome> afterWrite(
                Answer<Boolean> answer, VersionedConfiguration next) {
            if (answer.problem != null) {
                mayBeWritten |= mayHaveTakenEffect(answer.problem);
                return onFailure(answer.problem);
            }
            if (answer.value) {
                return done(new Accepted(next.getVersion(), next));
            }
            return attempts++ < MAXIMUM_ATTEMPTS ? start() : giveUp("The row kept changing.");
        }

        /** Reads the row again: its operation id, or a newer version, determines the outcome. */
        private CompletableFuture<ChangeOutcome> onFailure(Throwable problem) {
            if (++attempts < MAXIMUM_ATTEMPTS) {
                return start();
            }
            return giveUp(problem.getMessage());
        }

        private CompletableFuture<ChangeOutcome> giveUp(String problem) {
            if (mayBeWritten) {
                return done(new Unknown(request.operationId()));
            }
            return done(
                    new NotAccepted(
                            "This attempt wrote nothing, because the platform's table gave no"
                                    + " answer; try again later with the same operation id. "
                                    + problem));
        }

        private CompletableFuture<ChangeOutcome> done(ChangeOutcome outcome) {
            return CompletableFuture.completedFuture(outcome);
        }
    }

    private static boolean mayHaveTakenEffect(Throwable problem) {
        Throwable cause = problem instanceof CompletionException ? problem.getCause() : problem;
        return !(cause instanceof ServiceTableException failure) || failure.mayHaveTakenEffect();
    }
}
