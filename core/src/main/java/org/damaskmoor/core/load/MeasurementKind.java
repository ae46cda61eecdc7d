package org.damaskmoor.core.load;

/** Kinds of load measurement traffic. */
public enum MeasurementKind {
    /** A load probe and its answer. */
    PROBE,
    /** A load report attached to an answer or a refusal. */
    REPORT,
    /** A region summary, sent to other regions. */
    SUMMARY
}
