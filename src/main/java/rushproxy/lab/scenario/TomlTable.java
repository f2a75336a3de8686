package rushproxy.lab.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A table of a TOML document with strict accessors: every value is checked for its type and range, and {@link #rejectUnknownKeys} fails on
 * the first key that no accessor has read. Error messages name the path of the value, such as {@code faults[2].at_s}.
 */
public final class TomlTable {
    private final String file;
    private final String path;
    private final JsonNode node;
    private final Set<String> knownKeys = new LinkedHashSet<>();

    TomlTable(String file, String path, JsonNode node) {
        this.file = file;
        this.path = path;
        this.node = node;
    }

    /** Parses a document; a syntax error is reported with its line. */
    public static TomlTable parse(String file, String text) throws ScenarioException {
        try {
            return new TomlTable(file, "", new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            throw new ScenarioException(file + ": line "
                    + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()) + ": " + e.getOriginalMessage());
        }
    }

    String path() {
        return path.isEmpty() ? "the document" : path;
    }

    /** Returns an exception whose message names the file and the path of the key. */
    ScenarioException error(String key, String why) {
        return new ScenarioException(file + ": " + (path.isEmpty() ? key : path + "." + key) + ": " + why);
    }

    private JsonNode lookUp(String key) {
        knownKeys.add(key);
        return node.get(key);
    }

    public boolean has(String key) {
        return lookUp(key) != null;
    }

    private JsonNode require(String key) throws ScenarioException {
        JsonNode value = lookUp(key);
        if (value == null) {
            throw error(key, "is missing");
        }
        return value;
    }

    /** Returns a number between the bounds, both inclusive. */
    public double number(String key, double min, double max) throws ScenarioException {
        JsonNode value = require(key);
        if (!value.isNumber()) {
            throw error(key, "must be a number, but is " + value);
        }
        double number = value.asDouble();
        if (!(number >= min && number <= max)) {
            throw error(key, number + " is not between " + min + " and " + max);
        }
        return number;
    }

    public double number(String key, double min, double max, double defaultValue) throws ScenarioException {
        return has(key) ? number(key, min, max) : defaultValue;
    }

    public int integer(String key, int min, int max) throws ScenarioException {
        JsonNode value = require(key);
        if (!value.isIntegralNumber()) {
            throw error(key, "must be an integer, but is " + value);
        }
        return (int) number(key, min, max);
    }

    public int integer(String key, int min, int max, int defaultValue) throws ScenarioException {
        return has(key) ? integer(key, min, max) : defaultValue;
    }

    public String string(String key) throws ScenarioException {
        JsonNode value = require(key);
        if (!value.isTextual()) {
            throw error(key, "must be a string, but is " + value);
        }
        return value.asText();
    }

    public String string(String key, String defaultValue) throws ScenarioException {
        return has(key) ? string(key) : defaultValue;
    }

    /** Returns a string that must be one of the allowed values. */
    String oneOf(String key, Set<String> allowed, String defaultValue) throws ScenarioException {
        String value = string(key, defaultValue);
        if (!allowed.contains(value)) {
            throw error(key, "'" + value + "' is not one of " + new TreeSet<>(allowed));
        }
        return value;
    }

    boolean bool(String key, boolean defaultValue) throws ScenarioException {
        if (!has(key)) {
            return defaultValue;
        }
        JsonNode value = require(key);
        if (!value.isBoolean()) {
            throw error(key, "must be true or false, but is " + value);
        }
        return value.asBoolean();
    }

    /** Returns a list of strings, of which a single string is the short form; empty if the key is absent. */
    List<String> strings(String key) throws ScenarioException {
        JsonNode value = lookUp(key);
        List<String> strings = new ArrayList<>();
        if (value == null) {
            return strings;
        }
        for (JsonNode one : value.isArray() ? value : List.of(value)) {
            if (!one.isTextual()) {
                throw error(key, "contains " + one + ", which is not a string");
            }
            strings.add(one.asText());
        }
        return strings;
    }

    /** Returns the table under the key, or an empty table if the key is absent. */
    TomlTable table(String key) throws ScenarioException {
        JsonNode value = lookUp(key);
        if (value != null && !value.isObject()) {
            throw error(key, "must be a table, but is " + value);
        }
        return new TomlTable(
                file,
                path.isEmpty() ? key : path + "." + key,
                value == null ? com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode() : value);
    }

    public List<TomlTable> tables(String key) throws ScenarioException {
        JsonNode value = lookUp(key);
        List<TomlTable> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!value.isArray()) {
            throw error(key, "must be an array of tables, written as [[" + key + "]]");
        }
        for (JsonNode one : value) {
            if (!one.isObject()) {
                throw error(key, "contains " + one + ", which is not a table");
            }
            tables.add(new TomlTable(file, (path.isEmpty() ? key : path + "." + key) + "[" + tables.size() + "]", one));
        }
        return tables;
    }

    /** Returns the keys of a table that may have arbitrary keys. */
    List<String> keys() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Fails on a key that no accessor has read, and suggests the most similar known key. Call this after all accessors. */
    public void rejectUnknownKeys() throws ScenarioException {
        for (var names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!knownKeys.contains(name)) {
                String suggestion = nearest(name);
                throw error(
                        name,
                        "is unknown"
                                + (suggestion == null
                                        ? "; known keys are " + new TreeSet<>(knownKeys)
                                        : "; did you mean '" + suggestion + "'?"));
            }
        }
    }

    private String nearest(String name) {
        String stem = stem(name);
        for (String known : knownKeys) {
            // The most likely mistake is a key with another unit.
            if (stem(known).equals(stem)) {
                return known;
            }
        }
        for (String known : knownKeys) {
            if (distance(known, name) <= 2) {
                return known;
            }
        }
        return null;
    }

    private static String stem(String name) {
        return name.replaceAll("_(us|ms|s|min|per_s|mb|kb)$", "");
    }

    /** Levenshtein distance, computed with a single row. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int next = Math.min(
                        Math.min(row[j], row[j - 1]) + 1, diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1));
                diagonal = row[j];
                row[j] = next;
            }
        }
        return row[b.length()];
    }
}
