package org.damaskmoor.operator;

/**
 * A call that did not do what was asked: tells what happened, why, and what to do. Immutable and
 * thread-safe.
 */
public final class OperatorException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;
    private final String reason;
    private final String advice;

    /**
     * A failure.
     *
     * @param exitCode its kind
     * @param happened what happened, with the step and the node
     * @param reason why; may have several lines
     * @param advice what to do
     */
    public OperatorException(ExitCode exitCode, String happened, String reason, String advice) {
        super(happened);
        this.exitCode = exitCode;
        this.reason = reason;
        this.advice = advice;
    }

    /** Its kind. */
    public ExitCode exitCode() {
        return exitCode;
    }

    /** Why it happened. */
    public String reason() {
        return reason;
    }

    /** What to do. */
    public String advice() {
        return advice;
    }
}
