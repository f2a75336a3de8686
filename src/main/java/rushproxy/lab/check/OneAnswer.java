package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.What;

/**
 * Each request that a running sidecar has taken gets exactly one final answer in time. What a process held that was
 * killed is not lost; what it held when it left by itself is. A stopped process owes nothing until a while after it goes
 * on.
 */
final class OneAnswer implements Checker {
    /** What came this long after SIGTERM is owed an answer even by a process that is killed then. */
    private static final long TERM_US = 700_000;
    private static final long AFTER_STALL_US = 500_000;
    /** A process that is held up for up to 0.15 s owes what it always does. */
    private static final long SHORT_STALL_US = 200_000;

    /** When a node was killed, and when it was stopped and went on. */
    private static final class Life {
        private final List<long[]> stalls = new ArrayList<>();
        /** From the order to kill it to its end: on a busy machine the signal takes its time, and requests come meanwhile. */
        private final List<long[]> kills = new ArrayList<>();
        private final List<Long> terms = new ArrayList<>();

        boolean stalled(long fromUs, long toUs) {
            return stalls.stream().anyMatch(s -> s[0] <= toUs && fromUs <= s[1] + AFTER_STALL_US);
        }

        /** Killed between the two, with no word of the stop long before the request. */
        boolean killed(long askedUs, long endUs) {
            boolean killed = kills.stream().anyMatch(k -> k[1] >= askedUs - 1_000 && k[0] <= endUs + 1_000);
            return killed && terms.stream().noneMatch(t -> t <= askedUs - TERM_US
                    && kills.stream().anyMatch(k -> k[0] >= t && k[0] <= endUs + 1_000));
        }
    }

    @Override
    public String rule() {
        return "lost";
    }

    @Override
    public List<Violation> check(Run run) {
        Map<String, Life> lives = lives(run);
        List<Violation> found = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byId().entrySet()) {
            Observation ask = e.getValue().stream().filter(o -> o.what() == What.ASKED).findFirst().orElse(null);
            if (ask == null) {
                continue;
            }
            Life life = lives.computeIfAbsent(ask.node(), n -> new Life());
            List<Observation> answers = e.getValue().stream().filter(o -> o.what() == What.ANSWERED).toList();
            if (answers.size() > 1) {
                found.add(new Violation(rule(), answers.get(1).us(), e.getKey(), "was answered " + answers.size() + " times"));
            }
            for (Observation o : e.getValue()) {
                boolean excused = life.killed(ask.us(), o.us()) || life.stalled(ask.us(), o.us());
                if (o.what() == What.GAVE_UP && o.text() == null && !excused) {
                    found.add(new Violation(rule(), o.us(), e.getKey(), "got no answer in its time"));
                } else if (o.what() == What.BROKE && !excused) {
                    if ("part".equals(o.text()) && spoilt(e.getValue())) {
                        // What an upstream broke off can't be made whole: its client has seen that, and in its time.
                        continue;
                    }
                    found.add(new Violation(rule(), o.us(), e.getKey(), "lost its connection (" + o.text() + ") with no whole answer"));
                }
            }
        }
        for (Observation o : run.of(What.ANSWERED)) {
            if (o.id() == null) {
                found.add(new Violation(rule(), o.us(), null, "an answer came that nobody had asked for: " + o.text()));
            }
        }
        return found;
    }

    private static boolean spoilt(List<Observation> of) {
        return of.stream().anyMatch(o -> o.what() == What.SPOILED);
    }

    private static Map<String, Life> lives(Run run) {
        Map<String, Life> lives = new HashMap<>();
        Map<String, Long> stopped = new HashMap<>();
        for (Observation o : run.of(What.NODE)) {
            Life life = lives.computeIfAbsent(o.node(), n -> new Life());
            switch (o.text()) {
                case "kill" -> life.kills.add(new long[] {o.us(), o.us()});
                case "term" -> life.terms.add(o.us());
                case "stop" -> stopped.put(o.node(), o.us());
                case "cont" -> {
                    Long sinceUs = stopped.remove(o.node());
                    if (sinceUs != null && o.us() - sinceUs > SHORT_STALL_US) {
                        life.stalls.add(new long[] {sinceUs, o.us()});
                    }
                }
                default -> {
                    if (o.text().startsWith("exit") && !life.kills.isEmpty()) {
                        long[] last = life.kills.get(life.kills.size() - 1);
                        last[1] = last[1] == last[0] ? o.us() : last[1];
                    }
                }
            }
        }
        stopped.forEach((node, us) -> lives.get(node).stalls.add(new long[] {us, us}));
        return lives;
    }
}
