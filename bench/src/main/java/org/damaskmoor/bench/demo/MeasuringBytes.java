package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;

/** Sums the bytes that nodes sent to measure load. */
@FunctionalInterface
interface MeasuringBytes {
    /** Returns the sum over the nodes at the control URLs; empty when no node could be read. */
    OptionalLong sum(List<String> controlUrls) throws IOException;
}
