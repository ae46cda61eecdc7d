package standin3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes the JSON of the platform's store. Thread-safe: pure functions. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a text to maps, lists, strings, longs and booleans. */
    static Object parse(String text) {
        return new Json(text).value();
    }

    private Object value() {
        skip();
        char first = text.charAt(at);
        if (first == '{') {
            return object();
        }
        if (first == '[') {
            return list();
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Long.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> object = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
            skip();
            String name = string();
            skip();
            at++;
            object.put(name, value());
            skip();
            if (text.charAt(at) == ',') {
                at++;
                skip();
            }
        }
        at++;
        return object;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
            list.add(value());
            skip();
            if (text.charAt(at) == ',') {
                at++;
                skip();
            }
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder string = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> string.append('\n');
                    case 't' -> string.append('\t');
                    case 'r' -> string.append('\r');
                    case 'u' -> {
                        string.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> string.append(escaped);
                }
            } else {
                string.append(next);
            }
        }
        at++;
        return string.toString();
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char next : text.toCharArray()) {
            if (next == '"' || next == '\\') {
                quoted.append('\\');
            }
            quoted.append(next);
        }
        return quoted.append('"').toString();
    }
}
