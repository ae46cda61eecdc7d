package org.damaskmoor.bench.http;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import com.google.protobuf.util.JsonFormat;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object with access by member name and a fluent builder.
 *
 * <pre>{@code
 * JsonObject.parse("{\"mode\": \"slow\"}").text("mode", "none");
 * new JsonObject().with("runs", 2).toString();
 * }</pre>
 *
 * <p>Parsing uses protobuf; writing does not, because protobuf writes every number with a fraction.
 * Invariant: values are strings, numbers, booleans, lists of these, or objects. Not thread safe.
 */
public final class JsonObject {
    private final Map<String, Object> members = new LinkedHashMap<>();

    /**
     * Parses the text of one JSON object.
     *
     * @throws IllegalArgumentException when the text is not a JSON object
     */
    public static JsonObject parse(String text) {
        Struct.Builder struct = Struct.newBuilder();
        try {
            JsonFormat.parser().merge(text, struct);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("not a JSON object: " + text, e);
        }
        return of(struct.build());
    }

    private static JsonObject of(Struct struct) {
        JsonObject object = new JsonObject();
        struct.getFieldsMap().forEach((name, value) -> object.with(name, of(value)));
        return object;
    }

    private static Object of(Value value) {
        return switch (value.getKindCase()) {
            case NUMBER_VALUE -> value.getNumberValue();
            case BOOL_VALUE -> value.getBoolValue();
            case STRUCT_VALUE -> of(value.getStructValue());
            case LIST_VALUE ->
                    value.getListValue().getValuesList().stream().map(JsonObject::of).toList();
            default -> value.getStringValue();
        };
    }

    /** Sets a member and returns this object. */
    public JsonObject with(String name, Object value) {
        members.put(name, value);
        return this;
    }

    /** Returns whether the member exists. */
    public boolean has(String name) {
        return members.containsKey(name);
    }

    /** Returns the names of all members. */
    public List<String> names() {
        return List.copyOf(members.keySet());
    }

    /** Returns the numeric member, or the default if there is none. */
    public double number(String name, double otherwise) {
        return members.get(name) instanceof Number found ? found.doubleValue() : otherwise;
    }

    /** Returns the string member, or the default if there is none. */
    public String text(String name, String otherwise) {
        return members.get(name) instanceof String found ? found : otherwise;
    }

    /** Returns the boolean member, or false if there is none. */
    public boolean flag(String name) {
        return Boolean.TRUE.equals(members.get(name));
    }

    /** Returns the object member, or an empty object if there is none. */
    public JsonObject object(String name) {
        return members.get(name) instanceof JsonObject found ? found : new JsonObject();
    }

    /** Returns the elements of the list member that have the given type. */
    public <T> List<T> list(String name, Class<T> type) {
        List<T> found = new ArrayList<>();
        if (members.get(name) instanceof List<?> elements) {
            elements.stream().filter(type::isInstance).map(type::cast).forEach(found::add);
        }
        return found;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        write(this, text);
        return text.toString();
    }

    private static void write(Object value, StringBuilder text) {
        if (value instanceof JsonObject object) {
            writeMembers(object, text);
        } else if (value instanceof List<?> elements) {
            writeElements(elements, text);
        } else if (value instanceof Number || value instanceof Boolean) {
            text.append(value);
        } else {
            writeText(String.valueOf(value), text);
        }
    }

    private static void writeMembers(JsonObject object, StringBuilder text) {
        String separator = "{";
        for (Map.Entry<String, Object> member : object.members.entrySet()) {
            text.append(separator);
            writeText(member.getKey(), text);
            text.append(':');
            write(member.getValue(), text);
            separator = ",";
        }
        text.append(object.members.isEmpty() ? "{}" : "}");
    }

    private static void writeElements(List<?> elements, StringBuilder text) {
        String separator = "";
        text.append('[');
        for (Object element : elements) {
            text.append(separator);
            write(element, text);
            separator = ",";
        }
        text.append(']');
    }

    private static void writeText(String value, StringBuilder text) {
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character == '"' || character == '\\') {
                text.append('\\').append(character);
            } else if (character < ' ') {
                text.append(String.format("\\u%04x", (int) character));
            } else {
                text.append(character);
            }
        }
        text.append('"');
    }
}
