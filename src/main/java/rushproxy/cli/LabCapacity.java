package rushproxy.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import rushproxy.lab.scale.CapacityTables;
import rushproxy.lab.scale.ScaleResult;

/** {@code lab capacity}: prints the tables of {@code docs/CAPACITY.md} from the result files of scale runs. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Prints the measurements of scale runs, and their projection to 7,800 members, as Markdown tables.")
final class LabCapacity implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Result files written by 'lab scale'.")
    private List<Path> files;

    @Override
    public Integer call() {
        List<ScaleResult> results = new ArrayList<>();
        for (Path file : files) {
            try {
                results.add(ScaleResult.read(file));
            } catch (IOException e) {
                return LabCommand.printError(
                        spec,
                        new IOException(file + ": is not a result file of a scale run: "
                                + e.getMessage().lines().findFirst().orElse("")));
            }
        }
        spec.commandLine().getOut().print(CapacityTables.of(results));
        spec.commandLine().getOut().flush();
        return 0;
    }
}
