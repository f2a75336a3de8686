package rushproxy.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rushproxy.lab.node.Build;
import rushproxy.lab.scale.ScaleEvent;
import rushproxy.lab.scale.ScaleException;
import rushproxy.lab.scale.ScalePlan;
import rushproxy.lab.scale.ScaleResult;
import rushproxy.lab.scale.ScaleRun;

/** {@code lab scale}: what the control plane of a large fleet costs, and how soon it knows. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Measures the control plane of a large fleet: hollow members, without a data path, in simulated time, or in "
                        + "real time over loopback beside real sidecars.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:measured",
            "2:bad words, or a fleet that this machine can't hold; nothing was started",
            "3:void: this host could not keep real time",
            "4:an address, a socket or a sidecar could not be had"
        })
final class LabScale implements Callable<Integer> {
    private static final int EXIT_VOID = 3;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--members",
            defaultValue = "120",
            description = "Sidecars in the fleet (default ${DEFAULT-VALUE}).")
    private int members;

    @Option(
            names = "--real",
            defaultValue = "0",
            description = "How many of them are real sidecars; with any, time is real (default ${DEFAULT-VALUE}).")
    private int real;

    @Option(names = "--services", defaultValue = "1", description = "Services that they belong to, in turn.")
    private int services;

    @Option(
            names = "--zones",
            defaultValue = "12",
            description = "Zones that they are in, in turn (default ${DEFAULT-VALUE}).")
    private int zones;

    @Option(
            names = "--regions",
            defaultValue = "4",
            description = "Regions of the zones, in turn (default ${DEFAULT-VALUE}).")
    private int regions;

    @Option(
            names = "--event",
            defaultValue = "quiet",
            description = "What happens: quiet, kill, rack-loss, zone-loss, region-cut or rolling-restart.")
    private String event;

    @Option(
            names = "--loss",
            defaultValue = "0.01",
            description = "Part of all datagrams that is lost (default ${DEFAULT-VALUE}).")
    private double loss;

    @Option(names = "--seed", defaultValue = "1")
    private long seed;

    @Option(
            names = "--out",
            description = "The folder for scale.json and the sidecars' logs; by default a new one in target/lab.")
    private Path out;

    @Override
    public Integer call() {
        PrintWriter print = spec.commandLine().getOut();
        ScalePlan plan;
        Path folder = out == null ? LabCommand.newReportFolder("scale") : out;
        Build build = null;
        try {
            plan = new ScalePlan(members, real, services, zones, regions, ScaleEvent.of(event), loss, seed)
                    .check(Runtime.getRuntime().maxMemory(), ScalePlan.mostDescriptors());
            if (real > 0) {
                build = Build.of(Build.findRoot());
            }
        } catch (ScaleException | IOException e) {
            return LabCommand.printError(spec, e);
        }
        Path file = folder.resolve("scale.json");
        try {
            ScaleResult result = real == 0
                    ? ScaleRun.simulated(plan, this::printLine)
                    : ScaleRun.real(plan, build, folder, this::printLine);
            result.write(file);
            print.println("figures: " + file);
            if (result.voidWhy() != null) {
                print.println("VOID: " + result.voidWhy());
            }
            print.flush();
            return result.voidWhy() == null ? 0 : EXIT_VOID;
        } catch (IOException e) {
            spec.commandLine().getErr().println("the run could not be made or reported: " + e);
            spec.commandLine().getErr().flush();
            return 4;
        }
    }

    private void printLine(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}
