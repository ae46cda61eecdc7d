package org.damaskmoor.relay.internal.target;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.damaskmoor.platform.protocol.HeaderNames;

/**
 * Finds the head of another answer in the body of an answer, as its bytes arrive.
 *
 * <p>Without a length, a second answer that the upstream appends is decoded as a part of the body.
 * A status line alone may be quoted by a body; one that is followed by the id of a request is taken
 * for a second answer.
 *
 * <p>Confined to the event loop. Invariant: each byte is looked at once, whatever the body
 * contains, so that an upstream can't make the search take longer than the reading.
 */
final class EmbeddedAnswerScanner {
    /** Header fields that may stand between a status line and the id. */
    private static final int MAX_FIELDS_BEFORE_ID = 64;

    private static final int NO_STATUS_LINE = -1;
    private static final int MISMATCH = -1;

    /** The part of a status line that tells it from other text; a 0 stands for any digit. */
    private static final byte[] STATUS_LINE = bytes("HTTP/0.0 000");

    private static final byte[] ID_FIELD =
            bytes(HeaderNames.REQUEST_ID.toLowerCase(Locale.ROOT) + ":");

    /** Lines that have ended since the last status line, as long as they may be header fields. */
    private int fieldsSinceStatusLine = NO_STATUS_LINE;

    /** Characters of a status line that the last bytes match. */
    private int statusLineMatched;

    /** Characters of the id field that the beginning of this line matches. */
    private int idFieldMatched;

    /** Whether a status line begins in this line, behind its last single line break character. */
    private boolean hasStatusLine;

    private boolean isEmptyLine = true;
    private boolean isBrokenLine;
    private boolean afterCarriageReturn;
    private boolean found;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Scans the next bytes of the body. */
    void scan(byte[] bytes) {
        for (byte next : bytes) {
            if (found) {
                return;
            }
            scan(next);
        }
    }

    /** Whether the bytes that were scanned contain the head of another answer. */
    boolean hasFound() {
        return found;
    }

    private void scan(byte next) {
        if (afterCarriageReturn) {
            afterCarriageReturn = false;
            if (next == '\n') {
                endLine();
                return;
            }
            breakLine();
        }
        if (next == '\r') {
            afterCarriageReturn = true;
        } else if (next == '\n') {
            breakLine();
        } else {
            isEmptyLine = false;
            matchStatusLine(next);
            matchIdField(next);
        }
    }

    private void endLine() {
        if (hasStatusLine) {
            fieldsSinceStatusLine = 0;
        } else if (isEmptyLine || isBrokenLine || fieldsSinceStatusLine == MAX_FIELDS_BEFORE_ID) {
            fieldsSinceStatusLine = NO_STATUS_LINE;
        } else if (fieldsSinceStatusLine != NO_STATUS_LINE) {
            fieldsSinceStatusLine++;
        }
        hasStatusLine = false;
        statusLineMatched = 0;
        idFieldMatched = 0;
        isEmptyLine = true;
        isBrokenLine = false;
    }

    /** A line break of one character ends no line of a head, but a status line may follow it. */
    private void breakLine() {
        isBrokenLine = true;
        hasStatusLine = false;
        statusLineMatched = 0;
        idFieldMatched = MISMATCH;
    }

    private void matchStatusLine(byte next) {
        if (hasStatusLine) {
            return;
        }
        byte expected = STATUS_LINE[statusLineMatched];
        boolean matches = expected == '0' ? next >= '0' && next <= '9' : next == expected;
        if (matches) {
            statusLineMatched++;
        } else {
            // The first character occurs nowhere else in a status line.
            statusLineMatched = next == STATUS_LINE[0] ? 1 : 0;
        }
        hasStatusLine = statusLineMatched == STATUS_LINE.length;
    }

    private void matchIdField(byte next) {
        if (fieldsSinceStatusLine == NO_STATUS_LINE || idFieldMatched == MISMATCH) {
            return;
        }
        if (Character.toLowerCase((char) (next & 0xff)) == ID_FIELD[idFieldMatched]) {
            idFieldMatched++;
            found = idFieldMatched == ID_FIELD.length;
        } else {
            idFieldMatched = MISMATCH;
        }
    }
}
