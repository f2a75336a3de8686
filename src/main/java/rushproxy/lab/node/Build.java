package rushproxy.lab.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A build of the sidecar and how to start it: the {@code run} entry of a checkout's deploy file.
 *
 * @param root    the working directory
 * @param command a command line for {@code /bin/sh -c} that replaces the shell by {@code exec}
 */
public record Build(Path root, String command) {
    private static final String JAR = "target/rushproxy.jar";

    /** Returns the build of the checkout in {@code root}; throws if it has no deploy file or its jar is not built. */
    public static Build of(Path root) throws IOException {
        Path deploy = root.resolve("deploy/balancer.toml");
        JsonNode run = new TomlMapper().readTree(Files.readString(deploy)).get("run");
        if (run == null || !run.isTextual()) {
            throw new IOException(deploy + ": 'run' is missing");
        }
        if (!Files.exists(root.resolve(JAR))) {
            throw new IOException(root.resolve(JAR) + " is missing: run 'build' of " + deploy + " first");
        }
        return new Build(root, run.asText());
    }

    /** Returns this command with another jar, for fleets of mixed versions. The class archive only fits the original jar and is left out. */
    public Build withJar(String jar) throws IOException {
        Path otherJar = root.resolve(jar).toAbsolutePath();
        if (!Files.isRegularFile(otherJar)) {
            throw new IOException(otherJar + " is not a regular file");
        }
        return new Build(
                root, command.replace(JAR, "'" + otherJar + "'").replaceAll("-XX:SharedArchiveFile=\\S+ ?", ""));
    }

    /** Returns the nearest folder with a deploy file, from the working directory upwards. */
    public static Path findRoot() throws IOException {
        for (Path p = Path.of("").toAbsolutePath(); p != null; p = p.getParent()) {
            if (Files.exists(p.resolve("deploy/balancer.toml"))) {
                return p;
            }
        }
        throw new IOException("no deploy/balancer.toml in the working directory or above it");
    }
}
