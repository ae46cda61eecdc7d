package org.damaskmoor.bench.experiment;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Reads the fields of one JSON object and notes each that is missing, wrong or unknown.
 *
 * <p>Invariant: every fault names its field with the whole path. Not thread safe.
 */
final class FieldReader {
    private final JsonObject object;
    private final String path;
    private final List<String> faults;
    private final Set<String> known = new HashSet<>();

    FieldReader(JsonObject object, String path, List<String> faults) {
        this.object = object;
        this.path = path;
        this.faults = faults;
    }

    /** Returns a number within bounds; the field must be there. */
    double number(String name, double least, double most) {
        known.add(name);
        double value = object.number(name, Double.NaN);
        if (!(value >= least && value <= most)) {
            addProblem(name, "must be a number from " + least + " to " + most);
            return least;
        }
        return value;
    }

    /** Returns a number within bounds, or the other value when the field is absent. */
    double number(String name, double least, double most, double otherwise) {
        known.add(name);
        return object.has(name) ? number(name, least, most) : otherwise;
    }

    /** Returns a text that is not empty. */
    String text(String name) {
        known.add(name);
        String value = object.text(name, "");
        if (value.isEmpty()) {
            addProblem(name, "must be a text that is not empty");
        }
        return value;
    }

    /** Returns the constant that a text with dashes names, or the first when it names none. */
    <E extends Enum<E>> E enumConstant(String name, Class<E> type) {
        String wanted = text(name).replace('-', '_').toUpperCase(Locale.ROOT);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(wanted)) {
                return constant;
            }
        }
        addProblem(name, "must be one of " + List.of(type.getEnumConstants()));
        return type.getEnumConstants()[0];
    }

    /** Returns an object, an empty one when the field is absent. */
    FieldReader object(String name) {
        known.add(name);
        if (object.has(name) && object.object(name).names().isEmpty()) {
            addProblem(name, "must be an object with fields");
        }
        return new FieldReader(object.object(name), path + name + ".", faults);
    }

    /** Returns the objects of a list; there must be one at least. */
    List<FieldReader> objects(String name) {
        known.add(name);
        List<JsonObject> found = object.list(name, JsonObject.class);
        if (found.isEmpty()) {
            addProblem(name, "must be a list of objects that is not empty");
        }
        return java.util.stream.IntStream.range(0, found.size())
                .mapToObj(i -> new FieldReader(found.get(i), path + name + "[" + i + "].", faults))
                .toList();
    }

    /** Returns whether the field is there. */
    boolean has(String name) {
        return object.has(name);
    }

    /** Returns the object itself, all of whose fields are read elsewhere. */
    JsonObject rawObject() {
        known.addAll(object.names());
        return object;
    }

    /** Notes all fields that were not asked for. */
    void rejectUnknownFields() {
        object.names().stream()
                .filter(name -> !known.contains(name))
                .forEach(name -> addProblem(name, "is not known here"));
    }

    void addProblem(String name, String what) {
        faults.add(path + name + " " + what);
    }
}
