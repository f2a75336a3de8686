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
 * One table of a TOML document, read strictly: every value has a type and bounds, and {@link #rejectUnknownKeys} complains of each key
 * that nobody asked for. Every complaint names the place by its path, {@code faults[2].at_s} say.
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

    /** The whole document; throws with the place where it is no TOML. */
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

    /** A number within the bounds, both allowed. */
    public double number(String key, double least, double most) throws ScenarioException {
        JsonNode value = require(key);
        if (!value.isNumber()) {
            throw error(key, "is no number but " + value);
        }
        double number = value.asDouble();
        if (!(number >= least && number <= most)) {
            throw error(key, number + " is not between " + least + " and " + most);
        }
        return number;
    }

    public double number(String key, double least, double most, double absent) throws ScenarioException {
        return has(key) ? number(key, least, most) : absent;
    }

    public int integer(String key, int least, int most) throws ScenarioException {
        JsonNode value = require(key);
        if (!value.isIntegralNumber()) {
            throw error(key, "is no whole number but " + value);
        }
        return (int) number(key, least, most);
    }

    public int integer(String key, int least, int most, int absent) throws ScenarioException {
        return has(key) ? integer(key, least, most) : absent;
    }

    public String string(String key) throws ScenarioException {
        JsonNode value = require(key);
        if (!value.isTextual()) {
            throw error(key, "is no text but " + value);
        }
        return value.asText();
    }

    public String string(String key, String absent) throws ScenarioException {
        return has(key) ? string(key) : absent;
    }

    /** One of the words. */
    String oneOf(String key, Set<String> words, String absent) throws ScenarioException {
        String word = string(key, absent);
        if (!words.contains(word)) {
            throw error(key, "'" + word + "' is none of " + new TreeSet<>(words));
        }
        return word;
    }

    boolean bool(String key, boolean absent) throws ScenarioException {
        if (!has(key)) {
            return absent;
        }
        JsonNode value = require(key);
        if (!value.isBoolean()) {
            throw error(key, "is neither true nor false but " + value);
        }
        return value.asBoolean();
    }

    /** A text or a list of texts; none where the key is absent. */
    List<String> strings(String key) throws ScenarioException {
        JsonNode value = lookUp(key);
        List<String> texts = new ArrayList<>();
        if (value == null) {
            return texts;
        }
        for (JsonNode one : value.isArray() ? value : List.of(value)) {
            if (!one.isTextual()) {
                throw error(key, "holds " + one + ", which is no text");
            }
            texts.add(one.asText());
        }
        return texts;
    }

    /** The table under the key, an empty one where there is none. */
    TomlTable table(String key) throws ScenarioException {
        JsonNode value = lookUp(key);
        if (value != null && !value.isObject()) {
            throw error(key, "is no table but " + value);
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
            throw error(key, "is no list of tables: write [[" + key + "]]");
        }
        for (JsonNode one : value) {
            if (!one.isObject()) {
                throw error(key, "holds " + one + ", which is no table");
            }
            tables.add(new TomlTable(file, (path.isEmpty() ? key : path + "." + key) + "[" + tables.size() + "]", one));
        }
        return tables;
    }

    /** The keys of a table whose names are free. */
    List<String> keys() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** All that the section may hold has been asked for: what is left is a mistake, and the likeliest word is named. */
    public void rejectUnknownKeys() throws ScenarioException {
        for (var names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!knownKeys.contains(name)) {
                String near = nearest(name);
                throw error(
                        name,
                        "is unknown"
                                + (near == null
                                        ? "; known are " + new TreeSet<>(knownKeys)
                                        : "; is '" + near + "' meant?"));
            }
        }
    }

    private String nearest(String name) {
        String stem = stem(name);
        for (String known : knownKeys) {
            // Another unit of the same thing is the likeliest mistake.
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

    /** Levenshtein's distance, the rows kept to two. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int next = Math.min(
                        Math.min(row[j], row[j - 1]) + 1, corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1));
                corner = row[j];
                row[j] = next;
            }
        }
        return row[b.length()];
    }
}
