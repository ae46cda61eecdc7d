package org.damaskmoor.core.load;

/** What bytes were spent on measuring. */
public enum MeasurementKind {
    /** An explicit load probe and its answer. */
    PROBE,
    /** A load report that rides on an answer or a refusal. */
    REPORT,
    /** A region's summary over the paid link. */
    SUMMARY
}
