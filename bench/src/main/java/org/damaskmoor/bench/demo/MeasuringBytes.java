package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;

/** Sums the bytes that nodes spent on measuring load. */
@FunctionalInterface
interface MeasuringBytes {
    /** Returns the sum over the nodes with these control addresses; empty when not measured. */
    OptionalLong sum(List<String> controlUrls) throws IOException;
}
