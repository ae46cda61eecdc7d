package org.damaskmoor.node.internal.control;

/** An announcement that can't be used; the message names the field. Immutable. */
final class AnnouncementException extends Exception {
    private static final long serialVersionUID = 1L;

    AnnouncementException(String field, String allowed) {
        super("The field '" + field + "' must be " + allowed + ".");
    }
}
