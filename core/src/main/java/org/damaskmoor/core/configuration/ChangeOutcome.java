package org.damaskmoor.core.configuration;

import java.util.List;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** Outcome of a configuration change. All are immutable and thread-safe. */
public sealed interface ChangeOutcome {
    /**
     * The change is written and will be in force on every node.
     *
     * @param version the version of the change; a later one may be in force by now
     * @param inForce the newest row that was read
     */
    record Accepted(long version, VersionedConfiguration inForce) implements ChangeOutcome {}

    /**
     * Another change was written first; this one was not written and never will be.
     *
     * @param inForce the current row, with its author and time; the default instance if there is no
     *     such service
     */
    record Conflict(VersionedConfiguration inForce) implements ChangeOutcome {}

    /**
     * The change was not written, because it is invalid.
     *
     * @param faults every fault
     */
    record Invalid(List<ConfigurationFault> faults) implements ChangeOutcome {}

    /**
     * The change was certainly not written by this attempt.
     *
     * @param problem why, and what to do
     */
    record NotAccepted(String problem) implements ChangeOutcome {}

    /**
     * The table did not answer after the write was sent: retry with the same operation id.
     *
     * @param operationId the id for the retry
     */
    record Unknown(String operationId) implements ChangeOutcome {}
}
