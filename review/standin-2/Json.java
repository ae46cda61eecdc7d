import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser: objects become maps, arrays lists, numbers doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = peek();
        if (first == '{') {
            return object();
        }
        if (first == '[') {
            return array();
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at).trim();
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        while (peek() != '}') {
            String name = string();
            peek();
            at++;
            fields.put(name, value());
            if (peek() == ',') {
                at++;
            }
        }
        at++;
        return fields;
    }

    private List<Object> array() {
        List<Object> elements = new ArrayList<>();
        at++;
        while (peek() != ']') {
            elements.add(value());
            if (peek() == ',') {
                at++;
            }
        }
        at++;
        return elements;
    }

    private String string() {
        peek();
        StringBuilder read = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
                next = text.charAt(at++);
                switch (next) {
                    case 'n' -> next = '\n';
                    case 't' -> next = '\t';
                    case 'r' -> next = '\r';
                    case 'u' -> {
                        next = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    }
                    default -> { }
                }
            }
            read.append(next);
        }
        at++;
        return read.toString();
    }
}
