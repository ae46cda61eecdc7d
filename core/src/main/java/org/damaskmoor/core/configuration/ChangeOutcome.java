package org.damaskmoor.core.configuration;

import java.util.List;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** What became of a change. All are immutable and thread-safe. */
public sealed interface ChangeOutcome {
    /**
     * It is written and will be in force everywhere.
     *
     * @param version the version that the change got; a later one may be in force by now
     * @param inForce the newest row that was seen
     */
    record Accepted(long version, VersionedConfiguration inForce) implements ChangeOutcome {}

    /**
     * Another change came first; this one was not written and never will be.
     *
     * @param inForce what stands, with who changed it and when; the default instance when there is
     *     no such service
     */
    record Conflict(VersionedConfiguration inForce) implements ChangeOutcome {}

    /**
     * It was not written, for it is faulty.
     *
     * @param faults every fault
     */
    record Invalid(List<ConfigurationFault> faults) implements ChangeOutcome {}

    /**
     * This attempt certainly wrote nothing.
     *
     * @param problem why, and what to do
     */
    record NotAccepted(String problem) implements ChangeOutcome {}

    /**
     * The table gave no answer after the write was sent: ask again with the same operation id.
     *
     * @param operationId the id to ask again with
     */
    record Unknown(String operationId) implements ChangeOutcome {}
}
