package rushproxy.lab.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * How a sidecar is started: the line {@code run} of a checkout's deploy file, and the folder to start it in.
 *
 * @param command a line for {@code /bin/sh -c} that becomes one process, by {@code exec}
 */
public record Build(Path root, String command) {
    private static final String JAR = "target/rushproxy.jar";

    /** The checkout's own build. Throws where there is no deploy file, or nothing was built. */
    public static Build of(Path root) throws IOException {
        Path deploy = root.resolve("deploy/balancer.toml");
        JsonNode run = new TomlMapper().readTree(Files.readString(deploy)).get("run");
        if (run == null || !run.isTextual()) {
            throw new IOException(deploy + ": 'run' is missing");
        }
        if (!Files.exists(root.resolve(JAR))) {
            throw new IOException(root.resolve(JAR) + " is missing: build it first, as 'build' in " + deploy + " says");
        }
        return new Build(root, run.asText());
    }

    /** The same line with another program: for fleets of mixed versions. It starts without the class archive. */
    public Build withJar(String jar) throws IOException {
        Path other = root.resolve(jar).toAbsolutePath();
        if (!Files.isRegularFile(other)) {
            throw new IOException(other + " is no file that could be run");
        }
        return new Build(root, command.replace(JAR, "'" + other + "'").replaceAll("-XX:SharedArchiveFile=\\S+ ?", ""));
    }

    /** The folder above this one, or this one, that holds a deploy file. */
    public static Path findRoot() throws IOException {
        for (Path p = Path.of("").toAbsolutePath(); p != null; p = p.getParent()) {
            if (Files.exists(p.resolve("deploy/balancer.toml"))) {
                return p;
            }
        }
        throw new IOException("no deploy/balancer.toml in this folder or above it");
    }
}
