package rushproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class ArchiveScriptTest {
    /** Stands in for the runtime: lists classes, and makes no archive of a list with a line that was cut off. */
    private static final String JAVA = """
            #!/bin/sh
            for word in "$@"; do
                case $word in
                -XX:DumpLoadedClassList=*) echo serve > "${word#*=}" ;;
                lab) printf '@lambda-pro' > fleet-1.classes ;;
                -XX:SharedClassListFile=*) list=${word#*=} ;;
                -XX:SharedArchiveFile=*) grep -q '^@' "$list" || cp "$list" "${word#*=}" ;;
                esac
            done
            """;

    /** Guards against a build with no archive at all since a sidecar was killed while it wrote its list. */
    @Test
    void aListThatWasCutOffCostsNoMoreThanItself(@TempDir Path checkout) throws Exception {
        Path deploy = Files.createDirectories(checkout.resolve("deploy"));
        for (String name : new String[] {"archive.sh", "balancer.toml", "rehearsal.json"}) {
            Files.copy(Path.of("deploy", name), deploy.resolve(name));
        }
        Path java = Files.createDirectories(checkout.resolve("bin")).resolve("java");
        Files.writeString(java, JAVA);
        assertEquals(true, java.toFile().setExecutable(true));
        ProcessBuilder script =
                new ProcessBuilder("bash", deploy.resolve("archive.sh").toString());
        script.environment().merge("PATH", java.getParent() + File.pathSeparator, (path, bin) -> bin + path);
        Process run = script.redirectErrorStream(true)
                .redirectOutput(checkout.resolve("log").toFile())
                .start();
        assertEquals(true, run.waitFor(50, TimeUnit.SECONDS));
        assertEquals("serve\n", Files.readString(checkout.resolve("target/sidecar.jsa")));
    }
}
