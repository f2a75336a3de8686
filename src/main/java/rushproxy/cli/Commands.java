package rushproxy.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The commands for people. {@code serve} and {@code simhost} are {@link rushproxy.Main}'s own and never come here. */
@Command(
        name = "rushproxy",
        mixinStandardHelpOptions = true,
        version = "rushproxy 0.1.0",
        description = "A load-balancing sidecar and its laboratory.",
        footer = {
            "",
            "serve      runs a sidecar, configured by the file that BALANCER_CONFIG names",
            "simhost    hosts many instances on the simulator's wire"
        },
        subcommands = {LabCommand.class, FleetCommand.class, ReleaseCommand.class})
public final class Commands implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Commands() {}

    /** Returns the exit code: 2 where the words can't be understood. */
    public static int run(String... args) {
        return new CommandLine(new Commands()).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "what is to be done? serve, simhost or a command");
    }
}
