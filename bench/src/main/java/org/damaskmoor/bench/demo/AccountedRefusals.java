package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.util.OptionalLong;

/** Counts the refusals that are recorded in the object store. */
@FunctionalInterface
public interface AccountedRefusals {
    /** A counter without a result, for runs that don't check the records of refusals. */
    AccountedRefusals NOT_MEASURED = objectStoreUrl -> OptionalLong.empty();

    /** Returns the sum over all stored batches, without duplicates; empty when not measured. */
    OptionalLong count(String objectStoreUrl) throws IOException;
}
