package org.damaskmoor.node.internal.http;

/**
 * Checks names and values of header fields (RFC 9110, sections 5.1 and 5.5). The HTTP library
 * accepts a bare CR, NUL and other control characters, which allow response splitting.
 *
 * <p>Stateless and thread-safe.
 */
final class FieldSyntax {
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;

    private FieldSyntax() {}

    /** Whether the text is a valid field name. */
    static boolean isName(String text) {
        return !text.isEmpty() && text.chars().allMatch(FieldSyntax::isTokenCharacter);
    }

    /** Whether the text has no control characters other than tabs. */
    static boolean isValue(String text) {
        return text.chars().noneMatch(FieldSyntax::isControl);
    }

    /** Replaces each control character by a space. */
    static String sanitize(String value) {
        if (isValue(value)) {
            return value;
        }
        StringBuilder sanitized = new StringBuilder(value.length());
        value.chars()
                .forEach(
                        character ->
                                sanitized.append(isControl(character) ? ' ' : (char) character));
        return sanitized.toString();
    }

    private static boolean isTokenCharacter(int character) {
        boolean letter =
                (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        boolean digit = character >= '0' && character <= '9';
        return letter || digit || TOKEN_MARKS.indexOf(character) >= 0;
    }

    private static boolean isControl(int character) {
        return (character < ' ' && character != '\t') || character == DELETE;
    }
}
