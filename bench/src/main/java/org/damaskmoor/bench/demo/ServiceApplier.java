package org.damaskmoor.bench.demo;

import java.io.IOException;
import org.damaskmoor.schema.configuration.ServiceConfiguration;

/** Applies service configurations. */
@FunctionalInterface
public interface ServiceApplier {
    /** Returns once the configuration is in force on every node. */
    void apply(ServiceConfiguration service) throws IOException;
}
