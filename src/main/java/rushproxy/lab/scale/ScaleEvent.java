package rushproxy.lab.scale;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** What happens to a fleet while its control plane is measured. */
public enum ScaleEvent {
    /** Nothing. */
    QUIET,
    /** One member is killed. */
    KILL,
    /** The members of one rack, {@link #RACK}, are killed at once. */
    RACK_LOSS,
    /** All members of one zone are killed at once, and start again after {@link #ZONE_AWAY_S}. */
    ZONE_LOSS,
    /** One region hears none of the others, and they not it, for {@link #REGION_CUT_S}. */
    REGION_CUT,
    /** One member after another leaves and starts again, until each twentieth has. */
    ROLLING_RESTART;

    static final int RACK = 20;
    static final int ZONE_AWAY_S = 30;
    static final int REGION_CUT_S = 180;

    /** As it is written on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Throws {@link ScaleException} where there is no such event. */
    public static ScaleEvent of(String word) throws ScaleException {
        for (ScaleEvent event : values()) {
            if (event.word().equals(word)) {
                return event;
            }
        }
        throw new ScaleException("--event: '" + word + "' is none of " + words());
    }

    public static String words() {
        return Arrays.stream(values()).map(ScaleEvent::word).collect(Collectors.joining(", "));
    }
}
