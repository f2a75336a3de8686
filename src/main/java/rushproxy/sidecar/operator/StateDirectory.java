package rushproxy.sidecar.operator;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/**
 * Small files that two processes read and write at once. A file appears and changes as a whole: it is written under a temporary name
 * of its own and then linked or renamed, so that neither a kill nor the other process leaves half of one.
 */
final class StateDirectory {
    static final String SUFFIX = ".json";
    /** Far more than there are; protects against a directory of another program. */
    private static final int MAX_FILES = 4_096;

    private static final int MAX_FILE_BYTES = 2_000;

    private final Path directory;

    StateDirectory(Path directory) {
        this.directory = directory;
    }

    Path path(String name) {
        return directory.resolve(name + SUFFIX);
    }

    /** The files whose name starts with {@code prefix}; none if there is no directory. */
    List<Path> list(String prefix) throws IOException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(directory, prefix + "*" + SUFFIX)) {
            for (Path file : all) {
                if (files.size() == MAX_FILES) {
                    break;
                }
                files.add(file);
            }
        } catch (NoSuchFileException e) {
            // Nothing was ever written.
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return files;
    }

    /** Throws NoSuchFileException if there is no such file, and IllegalArgumentException if it can't be one of this program. */
    static byte[] read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IllegalArgumentException("file too long");
        }
        return Files.readAllBytes(file);
    }

    /** Creates the file or replaces it. */
    void write(Path file, String text) throws IOException {
        Path temporary = writeTemporary(text);
        try {
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw e;
        }
    }

    /** Creates the file. Leaves it as it is if it exists, since the other process may have created it meanwhile. */
    void writeIfAbsent(Path file, String text) throws IOException {
        Path temporary = writeTemporary(text);
        try {
            Files.createLink(file, temporary);
        } catch (FileAlreadyExistsException e) {
            // The other process's is the newer one.
        } finally {
            Files.deleteIfExists(temporary);
        }
    }

    private Path writeTemporary(String text) throws IOException {
        Files.createDirectories(directory);
        Path temporary = Files.createTempFile(directory, "new-", SUFFIX);
        try {
            return Files.writeString(temporary, text);
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw e;
        }
    }
}
