package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.util.OptionalLong;

/** Counts the refusals that the object store accounts for. */
@FunctionalInterface
public interface AccountedRefusals {
    /** A count that says that it was not taken. */
    AccountedRefusals NOT_MEASURED = objectStoreUrl -> OptionalLong.empty();

    /** Returns the sum over all stored batches, each counted once; empty when not measured. */
    OptionalLong count(String objectStoreUrl) throws IOException;
}
