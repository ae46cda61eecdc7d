package org.damaskmoor.operator;

/** Exit code of a command. Immutable and thread-safe. */
public enum ExitCode {
    /** The command succeeded. */
    SUCCESS(0),
    /** The command failed and changed nothing. */
    FAILED(1),
    /** A flag, an argument or an environment variable has a bad value. */
    BAD_USAGE(2),
    /** Another change was accepted first. */
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

    /** Returns the process exit code. */
    public int code() {
        return code;
    }
}
