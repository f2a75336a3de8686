package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * Each request that a running sidecar has taken gets exactly one final answer in time. What a process held that was
 * killed is not lost; what it held when it left by itself is. A stopped process owes nothing to a request whose time ends before it has
 * run again for a while.
 */
final class OneAnswer implements Checker {
    /** What came this long after SIGTERM is owed an answer even by a process that is killed then. */
    private static final long TERM_US = 700_000;

    private static final long AFTER_STALL_US = 500_000;
    /** By then the laboratory has seen that a killed process's connections broke, and the next process is still on its way. */
    private static final long AFTER_KILL_US = 500_000;
    /** A process that is held up for up to 0.15 s owes what it always does. */
    private static final long SHORT_STALL_US = 200_000;

    /** When a node was killed, and when it was stopped and went on. */
    private static final class Life {
        private final List<Span> stalls = new ArrayList<>();
        /** From the order to kill it to its end: on a busy machine the signal takes its time, and requests come meanwhile. */
        private final List<Span> kills = new ArrayList<>();

        private final List<Long> terms = new ArrayList<>();
        private final List<Long> starts = new ArrayList<>();
        /** Orders to kill a process whose end has not been heard of yet, by its id. */
        private final Map<Double, Long> killsBegun = new HashMap<>();
        /** Null where it runs. */
        private Long stopUs;
        /** By then it had stopped. */
        private long stoppedUs;
        /** By then it had not gone on; null before the order. */
        private Long contUs;

        void see(Observation o) {
            switch (o.text()) {
                case "kill" -> killsBegun.put(o.number(), o.us());
                case "term" -> terms.add(o.us());
                case "stop" -> {
                    stopUs = stoppedUs = o.us();
                    contUs = null;
                }
                case "stop sent" -> stoppedUs = o.us();
                case "cont" -> contUs = o.us();
                case "cont sent" -> goesOn(o.us());
                // The end of the process before it may be heard of later than this.
                case "started" -> {
                    starts.add(o.us());
                    killed(List.copyOf(killsBegun.keySet()), o.us());
                }
                default -> {
                    if (o.text().startsWith("exit")) {
                        killed(List.of(o.number()), o.us());
                    }
                }
            }
        }

        private void killed(List<Double> pids, long us) {
            for (Double pid : pids) {
                Long sinceUs = killsBegun.remove(pid);
                if (sinceUs != null) {
                    kills.add(new Span(sinceUs, us));
                }
            }
        }

        /** It is excused by what is sure: signals take their time, so its hold-up may have been shorter than between the first and the last. */
        private void goesOn(long us) {
            if (stopUs != null && contUs != null && contUs - stoppedUs > SHORT_STALL_US) {
                stalls.add(new Span(stopUs, us));
            }
            stopUs = null;
        }

        /** The run is over. */
        void end() {
            if (stopUs != null) {
                stalls.add(new Span(stopUs, Math.max(stopUs, stoppedUs)));
            }
            killed(
                    List.copyOf(killsBegun.keySet()),
                    killsBegun.values().stream().mapToLong(us -> us).max().orElse(0));
        }

        /** Whether the request's time was over before the process had run for a while after a stop. */
        boolean stalled(long askedUs, long deadlineUs) {
            return stalls.stream()
                    .anyMatch(s -> s.sinceUs <= deadlineUs
                            && askedUs <= s.untilUs
                            && deadlineUs <= s.untilUs + AFTER_STALL_US);
        }

        /** Killed between the two, with no word of the stop long before the request. */
        boolean killed(long askedUs, long endUs) {
            return kills.stream().anyMatch(k -> k.within(askedUs, endUs)) && !toldToStopBefore(askedUs, endUs);
        }

        /** Word of the stop came long before the request, and the kill after it. */
        private boolean toldToStopBefore(long askedUs, long endUs) {
            return terms.stream()
                    .anyMatch(t -> t <= askedUs - TERM_US
                            && kills.stream().anyMatch(k -> k.sinceUs >= t && k.sinceUs <= endUs + 1_000));
        }

        /**
         * The kill broke this connection: it began before the process's end, also where a late laboratory sent on it only after that. What
         * was sent when the next process had started may be that one's.
         */
        boolean brokenByKill(Observation asked, Observation broke) {
            return kills.stream()
                            .anyMatch(k -> k.within(broke.earliestStartUs(), broke.us())
                                    && broke.sinceUs() <= nextStartUs(k) + 1_000)
                    && !toldToStopBefore(asked.us(), broke.us());
        }

        private long nextStartUs(Span kill) {
            return starts.stream()
                    .mapToLong(us -> us)
                    .filter(us -> us >= kill.untilUs)
                    .min()
                    .orElse(Long.MAX_VALUE - 1_000);
        }

        /**
         * Killed between the two, and nobody else could take the request in the rest of its time. What the killed process itself held
         * had its connection broken with it: who waits on was in the kernel's queue, and is the next process's.
         */
        boolean killedAndNobodyThere(Observation asked, long endUs, long deadlineUs, Absences absences) {
            return killed(asked.us(), endUs)
                    && kills.stream()
                            .filter(k -> k.within(asked.us(), endUs))
                            .anyMatch(k -> endUs <= k.untilUs + AFTER_KILL_US
                                    || absences.cover(asked.node(), k.untilUs + AFTER_KILL_US, deadlineUs));
        }
    }

    private record Span(long sinceUs, long untilUs) {
        /** A part of it at least lies between the two. */
        boolean within(long fromUs, long toUs) {
            return untilUs >= fromUs - 1_000 && sinceUs <= toUs + 1_000;
        }
    }

    @Override
    public String rule() {
        return "lost";
    }

    @Override
    public List<Violation> check(Run run) {
        Map<String, Life> lives = lives(run);
        Absences absences = new Absences(run);
        List<Violation> found = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byId().entrySet()) {
            Observation ask = e.getValue().stream()
                    .filter(o -> o.what() == EventType.ASKED)
                    .findFirst()
                    .orElse(null);
            if (ask == null) {
                continue;
            }
            Life life = lives.computeIfAbsent(ask.node(), n -> new Life());
            List<Observation> answers = e.getValue().stream()
                    .filter(o -> o.what() == EventType.ANSWERED)
                    .toList();
            if (answers.size() > 1) {
                found.add(new Violation(
                        rule(), answers.get(1).us(), e.getKey(), "was answered " + answers.size() + " times"));
            }
            long deadlineUs = ask.us() + Math.round(ask.number() * 1e3);
            for (Observation o : e.getValue()) {
                // A connection that breaks was broken by somebody: neither a stop nor an absence does that.
                boolean nobodyThere = life.stalled(ask.us(), deadlineUs) || absences.nobodyCouldTake(ask, e.getValue());
                boolean killedInQueue = life.killedAndNobodyThere(ask, o.us(), deadlineUs, absences);
                if (o.what() == EventType.GAVE_UP && o.text() == null && !killedInQueue && !nobodyThere) {
                    found.add(new Violation(rule(), o.us(), e.getKey(), "got no answer in its time"));
                } else if (o.what() == EventType.BROKE && !life.brokenByKill(ask, o)) {
                    if ("part".equals(o.text()) && spoilt(e.getValue())) {
                        // What an upstream broke off can't be made whole: its client has seen that, and in its time.
                        continue;
                    }
                    found.add(new Violation(
                            rule(), o.us(), e.getKey(), "lost its connection (" + o.text() + ") with no whole answer"));
                }
            }
        }
        for (Observation o : run.of(EventType.ANSWERED)) {
            if (o.id() == null) {
                found.add(new Violation(rule(), o.us(), null, "an answer came that nobody had asked for: " + o.text()));
            }
        }
        return found;
    }

    private static boolean spoilt(List<Observation> of) {
        return of.stream().anyMatch(o -> o.what() == EventType.SPOILED);
    }

    private static Map<String, Life> lives(Run run) {
        Map<String, Life> lives = new HashMap<>();
        for (Observation o : run.of(EventType.NODE)) {
            lives.computeIfAbsent(o.node(), n -> new Life()).see(o);
        }
        lives.values().forEach(Life::end);
        return lives;
    }
}
