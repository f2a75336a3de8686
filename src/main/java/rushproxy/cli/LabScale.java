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

/** {@code lab scale}: measures the cost and the propagation delays of a large fleet's control plane. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Measures the control plane of a large fleet whose members have no data path: in simulated time, or in "
                        + "real time over loopback beside real sidecars.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:measured",
            "2:invalid arguments, or a fleet too large for this machine; nothing was started",
            "3:void: this host could not keep real time",
            "4:a sidecar could not be started, or an address or a socket was not available"
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
            description =
                    "Number of real sidecars among them; above 0 the run is in real time (default ${DEFAULT-VALUE}).")
    private int real;

    @Option(names = "--services", defaultValue = "1", description = "Services, to which members are assigned in turn.")
    private int services;

    @Option(
            names = "--zones",
            defaultValue = "12",
            description = "Zones, to which members are assigned in turn (default ${DEFAULT-VALUE}).")
    private int zones;

    @Option(
            names = "--regions",
            defaultValue = "4",
            description = "Regions, to which zones are assigned in turn (default ${DEFAULT-VALUE}).")
    private int regions;

    @Option(
            names = "--event",
            defaultValue = "quiet",
            description = "Event to measure: quiet, kill, rack-loss, zone-loss, region-cut or rolling-restart.")
    private String event;

    @Option(
            names = "--loss",
            defaultValue = "0.01",
            description = "Fraction of datagrams lost (default ${DEFAULT-VALUE}).")
    private double loss;

    @Option(names = "--seed", defaultValue = "1")
    private long seed;

    @Option(
            names = "--out",
            description = "Folder for scale.json and the sidecars' logs; by default a new one in target/lab.")
    private Path out;

    @Override
    public Integer call() {
        PrintWriter console = spec.commandLine().getOut();
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
            console.println("figures: " + file);
            if (result.voidWhy() != null) {
                console.println("VOID: " + result.voidWhy());
            }
            console.flush();
            return result.voidWhy() == null ? 0 : EXIT_VOID;
        } catch (IOException e) {
            spec.commandLine().getErr().println("the run failed, or its result could not be written: " + e);
            spec.commandLine().getErr().flush();
            return LabCommand.EXIT_FAILED;
        }
    }

    private void printLine(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}
