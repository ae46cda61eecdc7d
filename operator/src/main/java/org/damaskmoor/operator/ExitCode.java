package org.damaskmoor.operator;

/** How a command ends, as its caller's shell sees it. Immutable and thread-safe. */
public enum ExitCode {
    /** It did what was asked. */
    SUCCESS(0),
    /** It failed, and nothing was changed by it. */
    FAILED(1),
    /** A flag, an argument or an environment variable has a bad value. */
    BAD_USAGE(2),
    /** Another change came first. */
    CONFLICT(3),
    /** The configuration has faults. */
    INVALID_CONFIGURATION(4),
    /** The change was certainly not accepted. */
    NOT_ACCEPTED(5),
    /** The change may have been accepted: repeat it with the same operation id. */
    OUTCOME_UNKNOWN(6);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** The number for the shell. */
    public int code() {
        return code;
    }
}
