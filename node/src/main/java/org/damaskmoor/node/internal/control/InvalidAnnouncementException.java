package org.damaskmoor.node.internal.control;

/** An announcement is invalid; the message names the field. Immutable. */
final class InvalidAnnouncementException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidAnnouncementException(String field, String allowed) {
        super("The field '" + field + "' must be " + allowed + ".");
    }
}
