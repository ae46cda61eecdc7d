package org.damaskmoor.bench.experiment;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Reads and validates the fields of one JSON object; collects a problem for each field that is
 * missing, invalid or unknown.
 *
 * <p>Invariant: every problem names its field with the full path. Not thread-safe.
 */
final class FieldReader {
    private final JsonObject object;
    private final String path;
    private final List<String> problems;
    private final Set<String> knownNames = new HashSet<>();

    FieldReader(JsonObject object, String path, List<String> problems) {
        this.object = object;
        this.path = path;
        this.problems = problems;
    }

    /** Returns a required number within the bounds. */
    double number(String name, double min, double max) {
        knownNames.add(name);
        double value = object.number(name, Double.NaN);
        if (!(value >= min && value <= max)) {
            addProblem(name, "must be a number from " + min + " to " + max);
            return min;
        }
        return value;
    }

    /** Returns a number within the bounds, or the default when the field is absent. */
    double number(String name, double min, double max, double defaultValue) {
        knownNames.add(name);
        return object.has(name) ? number(name, min, max) : defaultValue;
    }

    /** Returns a required, non-empty string. */
    String text(String name) {
        knownNames.add(name);
        String value = object.text(name, "");
        if (value.isEmpty()) {
            addProblem(name, "must be a non-empty string");
        }
        return value;
    }

    /** Returns the enum constant named in kebab case; the first constant when there is none. */
    <E extends Enum<E>> E enumConstant(String name, Class<E> type) {
        String constantName = text(name).replace('-', '_').toUpperCase(Locale.ROOT);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(constantName)) {
                return constant;
            }
        }
        addProblem(name, "must be one of " + List.of(type.getEnumConstants()));
        return type.getEnumConstants()[0];
    }

    /** Returns a reader of a nested object, which is empty when the field is absent. */
    FieldReader object(String name) {
        knownNames.add(name);
        if (object.has(name) && object.object(name).names().isEmpty()) {
            addProblem(name, "must be a non-empty object");
        }
        return new FieldReader(object.object(name), path + name + ".", problems);
    }

    /** Returns readers of the objects of a required, non-empty list. */
    List<FieldReader> objects(String name) {
        knownNames.add(name);
        List<JsonObject> elements = object.list(name, JsonObject.class);
        if (elements.isEmpty()) {
            addProblem(name, "must be a non-empty list of objects");
        }
        return java.util.stream.IntStream.range(0, elements.size())
                .mapToObj(
                        i ->
                                new FieldReader(
                                        elements.get(i), path + name + "[" + i + "].", problems))
                .toList();
    }

    /** Returns whether the field is present. */
    boolean has(String name) {
        return object.has(name);
    }

    /** Returns the object itself, without validation of its fields. */
    JsonObject rawObject() {
        knownNames.addAll(object.names());
        return object;
    }

    /** Adds a problem for each field that was not read. */
    void rejectUnknownFields() {
        object.names().stream()
                .filter(name -> !knownNames.contains(name))
                .forEach(name -> addProblem(name, "is unknown"));
    }

    void addProblem(String name, String problem) {
        problems.add(path + name + " " + problem);
    }
}
