import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the store stand-in: objects, lists, texts, numbers, true, false, null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private char skipSpace() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = skipSpace();
        if (first == '{') {
            Map<String, Object> object = new LinkedHashMap<>();
            at++;
            while (skipSpace() != '}') {
                if (text.charAt(at) == ',') {
                    at++;
                    skipSpace();
                }
                String name = string();
                skipSpace();
                at++;
                object.put(name, value());
            }
            at++;
            return object;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (skipSpace() != ']') {
                if (text.charAt(at) == ',') {
                    at++;
                }
                list.add(value());
            }
            at++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && ",}] \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.parseDouble(word);
        };
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                switch (c) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> result.append(c);
                }
            } else {
                result.append(c);
            }
        }
        at++;
        return result.toString();
    }
}
