package org.damaskmoor.node.internal.http;

/**
 * What may stand in header fields (RFC 9110, sections 5.1 and 5.5). The HTTP library lets a bare
 * CR, NUL and other control characters pass, by which an answer could be split.
 *
 * <p>Stateless and thread-safe.
 */
final class FieldSyntax {
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;

    private FieldSyntax() {}

    /** Whether the text is a field name. */
    static boolean isName(String text) {
        return !text.isEmpty() && text.chars().allMatch(FieldSyntax::isTokenCharacter);
    }

    /** Whether the text holds no control character but tabs. */
    static boolean isValue(String text) {
        return text.chars().noneMatch(FieldSyntax::isControl);
    }

    /** The value with a space in place of each control character. */
    static String sanitize(String value) {
        if (isValue(value)) {
            return value;
        }
        StringBuilder clean = new StringBuilder(value.length());
        value.chars().forEach(each -> clean.append(isControl(each) ? ' ' : (char) each));
        return clean.toString();
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
