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
 * One table of a TOML document, read strictly: every value has a type and bounds, and {@link #end} complains of each key
 * that nobody asked for. Every complaint names the place by its path, {@code faults[2].at_s} say.
 */
public final class Section {
    private final String file;
    private final String path;
    private final JsonNode node;
    private final Set<String> asked = new LinkedHashSet<>();

    Section(String file, String path, JsonNode node) {
        this.file = file;
        this.path = path;
        this.node = node;
    }

    /** The whole document; throws with the place where it is no TOML. */
    public static Section toml(String file, String text) throws ScenarioException {
        try {
            return new Section(file, "", new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            throw new ScenarioException(file + ": line "
                    + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()) + ": " + e.getOriginalMessage());
        }
    }

    String path() {
        return path.isEmpty() ? "the document" : path;
    }

    ScenarioException wrong(String key, String why) {
        return new ScenarioException(file + ": " + (path.isEmpty() ? key : path + "." + key) + ": " + why);
    }

    private JsonNode find(String key) {
        asked.add(key);
        return node.get(key);
    }

    public boolean has(String key) {
        return find(key) != null;
    }

    private JsonNode need(String key) throws ScenarioException {
        JsonNode value = find(key);
        if (value == null) {
            throw wrong(key, "is missing");
        }
        return value;
    }

    /** A number within the bounds, both allowed. */
    public double number(String key, double least, double most) throws ScenarioException {
        JsonNode value = need(key);
        if (!value.isNumber()) {
            throw wrong(key, "is no number but " + value);
        }
        double number = value.asDouble();
        if (!(number >= least && number <= most)) {
            throw wrong(key, number + " is not between " + least + " and " + most);
        }
        return number;
    }

    public double number(String key, double least, double most, double absent) throws ScenarioException {
        return has(key) ? number(key, least, most) : absent;
    }

    public int count(String key, int least, int most) throws ScenarioException {
        JsonNode value = need(key);
        if (!value.isIntegralNumber()) {
            throw wrong(key, "is no whole number but " + value);
        }
        return (int) number(key, least, most);
    }

    public int count(String key, int least, int most, int absent) throws ScenarioException {
        return has(key) ? count(key, least, most) : absent;
    }

    public String text(String key) throws ScenarioException {
        JsonNode value = need(key);
        if (!value.isTextual()) {
            throw wrong(key, "is no text but " + value);
        }
        return value.asText();
    }

    public String text(String key, String absent) throws ScenarioException {
        return has(key) ? text(key) : absent;
    }

    /** One of the words. */
    String word(String key, Set<String> words, String absent) throws ScenarioException {
        String word = text(key, absent);
        if (!words.contains(word)) {
            throw wrong(key, "'" + word + "' is none of " + new TreeSet<>(words));
        }
        return word;
    }

    boolean flag(String key, boolean absent) throws ScenarioException {
        if (!has(key)) {
            return absent;
        }
        JsonNode value = need(key);
        if (!value.isBoolean()) {
            throw wrong(key, "is neither true nor false but " + value);
        }
        return value.asBoolean();
    }

    /** A text or a list of texts; none where the key is absent. */
    List<String> texts(String key) throws ScenarioException {
        JsonNode value = find(key);
        List<String> texts = new ArrayList<>();
        if (value == null) {
            return texts;
        }
        for (JsonNode one : value.isArray() ? value : List.of(value)) {
            if (!one.isTextual()) {
                throw wrong(key, "holds " + one + ", which is no text");
            }
            texts.add(one.asText());
        }
        return texts;
    }

    /** The table under the key, an empty one where there is none. */
    Section table(String key) throws ScenarioException {
        JsonNode value = find(key);
        if (value != null && !value.isObject()) {
            throw wrong(key, "is no table but " + value);
        }
        return new Section(
                file,
                path.isEmpty() ? key : path + "." + key,
                value == null ? com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode() : value);
    }

    public List<Section> tables(String key) throws ScenarioException {
        JsonNode value = find(key);
        List<Section> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!value.isArray()) {
            throw wrong(key, "is no list of tables: write [[" + key + "]]");
        }
        for (JsonNode one : value) {
            if (!one.isObject()) {
                throw wrong(key, "holds " + one + ", which is no table");
            }
            tables.add(new Section(file, (path.isEmpty() ? key : path + "." + key) + "[" + tables.size() + "]", one));
        }
        return tables;
    }

    /** The keys of a table whose names are free. */
    List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** All that the section may hold has been asked for: what is left is a mistake, and the likeliest word is named. */
    public void end() throws ScenarioException {
        for (var names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!asked.contains(name)) {
                String near = nearest(name);
                throw wrong(
                        name,
                        "is unknown"
                                + (near == null
                                        ? "; known are " + new TreeSet<>(asked)
                                        : "; is '" + near + "' meant?"));
            }
        }
    }

    private String nearest(String name) {
        String stem = stem(name);
        for (String known : asked) {
            // Another unit of the same thing is the likeliest mistake.
            if (stem(known).equals(stem)) {
                return known;
            }
        }
        for (String known : asked) {
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
