package org.damaskmoor.operator;

/** A command failed: says what happened, why, and what to do. Immutable and thread-safe. */
public final class OperatorException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;
    private final String reason;
    private final String advice;

    /**
     * Creates the exception.
     *
     * @param exitCode the exit code of the command
     * @param happened what happened, with the step and the node
     * @param reason why it happened; may have several lines
     * @param advice what to do
     */
    public OperatorException(ExitCode exitCode, String happened, String reason, String advice) {
        super(happened);
        this.exitCode = exitCode;
        this.reason = reason;
        this.advice = advice;
    }

    /** Returns the exit code of the command. */
    public ExitCode exitCode() {
        return exitCode;
    }

    /** Returns why it happened. */
    public String reason() {
        return reason;
    }

    /** Returns what the operator can do. */
    public String advice() {
        return advice;
    }
}
