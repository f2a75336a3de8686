package rushproxy.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Root of the operator commands. {@link rushproxy.Main} handles {@code serve} and {@code simhost} itself; they never get here. */
@Command(
        name = "rushproxy",
        mixinStandardHelpOptions = true,
        version = "rushproxy 0.1.0",
        description = "A load-balancing sidecar and its laboratory.",
        footer = {
            "",
            "serve      runs a sidecar with the configuration file named by BALANCER_CONFIG",
            "simhost    runs many sidecar instances that speak the simulator's protocol"
        },
        subcommands = {LabCommand.class, FleetCommand.class, ReleaseCommand.class})
public final class Commands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Commands() {}

    /** Runs a command and returns its exit code: 2 if the arguments are invalid. */
    public static int run(String... args) {
        return new CommandLine(new Commands()).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a command is required: serve, simhost, lab, fleet or release");
    }
}
