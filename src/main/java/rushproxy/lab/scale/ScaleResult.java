package rushproxy.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A scale run and what was measured in it.
 *
 * @param clock       {@code simulated}, or {@code real}: members over loopback sockets, beside real sidecars
 * @param heapAMember bytes that one member's whole state holds
 * @param voidWhy     why the figures tell nothing of the fleet, but of this host; null where they do
 */
public record ScaleResult(
        String clock,
        int members,
        int real,
        int services,
        int zones,
        int regions,
        String event,
        double loss,
        long seed,
        long heapAMember,
        String voidWhy,
        List<ScalePhase> phases,
        List<Sidecar> sidecars) {
    /**
     * A real sidecar of the fleet.
     *
     * @param here how many members it saw at the end, itself included
     * @param core its part of a core over the run, all of its process, without requests
     */
    public record Sidecar(String name, int here, double core, double memoryMb) {}

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    public void write(Path file) throws IOException {
        if (file.toAbsolutePath().getParent() != null) {
            Files.createDirectories(file.toAbsolutePath().getParent());
        }
        JSON.writeValue(file.toFile(), this);
    }

    public static ScaleResult read(Path file) throws IOException {
        return JSON.readValue(file.toFile(), ScaleResult.class);
    }

    /** Null where there was no such stretch. */
    public ScalePhase phase(String name) {
        return phases.stream().filter(p -> p.name().equals(name)).findFirst().orElse(null);
    }
}
