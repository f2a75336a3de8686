package rushproxy.sidecar;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A JSON object with typed access to its fields. Errors name the field. */
public final class Json {
    private final Map<String, Object> fields;

    private Json(Map<String, Object> fields) {
        this.fields = fields;
    }

    public static Json parse(byte[] text) {
        try {
            Map<String, Object> fields = JSON.std.mapFrom(text);
            if (fields == null) {
                throw new IllegalArgumentException("not a JSON object");
            }
            return new Json(fields);
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage());
            throw new IllegalArgumentException(
                    "not a JSON object: " + reason.lines().findFirst().orElse(""));
        }
    }

    public Set<String> names() {
        return fields.keySet();
    }

    public boolean has(String name) {
        return fields.get(name) != null;
    }

    public String text(String name) {
        return get(name, String.class, "a string");
    }

    public String textOr(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    public long number(String name) {
        return get(name, Number.class, "a number").longValue();
    }

    public long numberOr(String name, long defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    public double realOr(String name, double defaultValue) {
        return has(name) ? get(name, Number.class, "a number").doubleValue() : defaultValue;
    }

    public boolean flag(String name) {
        return get(name, Boolean.class, "true or false");
    }

    @SuppressWarnings("unchecked")
    public Json object(String name) {
        return new Json(get(name, Map.class, "an object"));
    }

    @SuppressWarnings("unchecked")
    public List<Json> objects(String name) {
        return ((List<Object>) get(name, List.class, "a list"))
                .stream()
                        .map(o -> {
                            if (!(o instanceof Map)) {
                                throw new IllegalArgumentException(
                                        "'" + name + "' contains an element that is not an object");
                            }
                            return new Json((Map<String, Object>) o);
                        })
                        .toList();
    }

    @SuppressWarnings("unchecked")
    public List<String> textsOrEmpty(String name) {
        return has(name)
                ? ((List<Object>) get(name, List.class, "a list"))
                        .stream().map(String::valueOf).toList()
                : List.of();
    }

    private <T> T get(String name, Class<T> type, String typeName) {
        Object value = fields.get(name);
        if (value == null) {
            throw new IllegalArgumentException("'" + name + "' is missing");
        }
        if (!type.isInstance(value)) {
            throw new IllegalArgumentException("'" + name + "' is not " + typeName);
        }
        return type.cast(value);
    }

    /** All values by their dotted paths, as in the key-value pairs of the simulator. */
    Map<String, String> flatten() {
        Map<String, String> out = new TreeMap<>();
        flatten("", fields, out);
        return out;
    }

    private static void flatten(String path, Object value, Map<String, String> out) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path.isEmpty() ? "" + k : path + "." + k, v, out));
        } else if (value instanceof List<?> list) {
            if (list.stream().noneMatch(Map.class::isInstance)) {
                out.put(
                        path,
                        String.join(",", list.stream().map(String::valueOf).toList()));
                return;
            }
            out.put(path + ".count", "" + list.size());
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), out);
            }
        } else if (value != null) {
            out.put(path, value.toString());
        }
    }
}
