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
 * Carries out operators' changes at the node that took them.
 *
 * <pre>{@code
 * changer.apply(request, othersConfigurations).thenAccept(outcome -> ...);
 * }</pre>
 *
 * <p>Invariants: accepted means written; a write whose answer was lost is settled by its operation
 * id and never reported as not accepted; a change is written at most once, because every write is
 * conditional on the row as first read. Thread-safe if the table and the listener are.
 */
public final class ConfigurationChanger {
    private static final int MOST_ATTEMPTS = 4;

    private final ServiceTable table;
    private final ConfigurationValidator validator;
    private final Consumer<VersionedConfiguration> acceptedListener;

    /**
     * A changer.
     *
     * @param acceptedListener hears each accepted change, to take it in and tell the others
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
     * Carries out one change; the result never completes exceptionally for a table that fails.
     *
     * @param known all configurations that the node holds, to find clashes between services
     */
    public CompletableFuture<ChangeOutcome> apply(
            ChangeRequest request, List<VersionedConfiguration> known) {
        List<ConfigurationFault> faults = validator.validate(request, known);
        if (!faults.isEmpty()) {
            return CompletableFuture.completedFuture(new Invalid(faults));
        }
        return new Run(request).start().whenComplete(this::tell);
    }

    private void tell(ChangeOutcome outcome, Throwable problem) {
        if (outcome instanceof Accepted accepted) {
            acceptedListener.accept(accepted.inForce());
        }
    }

    /** What a call of the table came to. */
    private record Answer<T>(T value, Throwable problem) {}

    /** One change under way. Its steps follow one another, so that no two threads meet here. */
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
            return attempts++ < MOST_ATTEMPTS ? start() : giveUp("The row kept changing.");
        }

        /** Reads back: the operation id in the row, or a row that moved on, settles the matter. */
        private CompletableFuture<ChangeOutcome> onFailure(Throwable problem) {
            if (++attempts < MOST_ATTEMPTS) {
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
