package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * Every request that a running sidecar has accepted must get exactly one final response before its deadline. Requests held by a process
 * that is killed do not count as lost, but those held by a process that exits on its own do. A process stopped by a signal need not answer
 * a request whose deadline passes before the process has resumed and run for {@code STALL_RECOVERY_US}.
 */
final class SingleResponseChecker implements Checker {
    /** Requests sent this long after SIGTERM must be answered even if the process is killed afterwards. */
    private static final long TERM_NOTICE_US = 700_000;

    /** Time that a resumed process has to answer the requests that waited for it. */
    private static final long STALL_RECOVERY_US = 500_000;
    /** Within this time after a kill the laboratory notices the broken connections, and the next process does not accept yet. */
    private static final long KILL_NOTICE_US = 500_000;
    /** Stops up to this length excuse nothing: a process that is held up for at most 0.15 s must answer as usual. */
    private static final long MAX_TOLERATED_STALL_US = 200_000;

    /** The times at which the processes of a node were started, killed, stopped and resumed. */
    private static final class ProcessTimeline {
        private final List<TimeSpan> stalls = new ArrayList<>();
        /** From the command to kill a process to its exit: on a busy machine the signal is delayed, and requests arrive meanwhile. */
        private final List<TimeSpan> kills = new ArrayList<>();

        private final List<ProcessSignal> termSignals = new ArrayList<>();
        private final List<ProcessSignal> killSignals = new ArrayList<>();
        private final List<Long> startTimesUs = new ArrayList<>();
        /** Time of the kill command for each process id whose exit has not been observed yet. */
        private final Map<Double, Long> killCommandUsByPid = new HashMap<>();

        private final Map<Double, Long> killedUsByPid = new HashMap<>();
        /** Time of the stop command; null while the process runs. */
        private Long stopCommandUs;
        /** Time at which the stop signal had been sent, so the process had stopped by then. */
        private long stopSentUs;
        /** Time of the command to continue, before which the process had not resumed; null until that command. */
        private Long continueCommandUs;

        void record(Observation o) {
            switch (o.text()) {
                case "kill" -> {
                    killCommandUsByPid.put(o.number(), o.us());
                    killSignals.add(new ProcessSignal(o.us(), o.number()));
                }
                case "term" -> termSignals.add(new ProcessSignal(o.us(), o.number()));
                case "stop" -> {
                    stopCommandUs = stopSentUs = o.us();
                    continueCommandUs = null;
                }
                case "stop sent" -> stopSentUs = o.us();
                case "cont" -> continueCommandUs = o.us();
                case "cont sent" -> resumed(o.us());
                // The exit of the previous process may be observed only after the start of the next one.
                case "started" -> {
                    startTimesUs.add(o.us());
                    recordExits(List.copyOf(killCommandUsByPid.keySet()), o.us());
                }
                default -> {
                    if (o.text().startsWith("exit")) {
                        recordExits(List.of(o.number()), o.us());
                    }
                }
            }
        }

        private void recordExits(List<Double> pids, long us) {
            for (Double pid : pids) {
                Long sinceUs = killCommandUsByPid.remove(pid);
                if (sinceUs != null) {
                    killedUsByPid.put(pid, us);
                    kills.add(new TimeSpan(sinceUs, us));
                }
            }
        }

        /**
         * Records a stop as a stall only if it certainly lasted longer than {@code MAX_TOLERATED_STALL_US}. Signals are delivered with a
         * delay, so only the time from the sent stop signal to the command to continue is certain.
         */
        private void resumed(long us) {
            if (stopCommandUs != null
                    && continueCommandUs != null
                    && continueCommandUs - stopSentUs > MAX_TOLERATED_STALL_US) {
                stalls.add(new TimeSpan(stopCommandUs, us));
            }
            stopCommandUs = null;
        }

        /** Closes the open stall and kills at the end of the run. */
        void finish() {
            if (stopCommandUs != null) {
                stalls.add(new TimeSpan(stopCommandUs, Math.max(stopCommandUs, stopSentUs)));
            }
            recordExits(
                    List.copyOf(killCommandUsByPid.keySet()),
                    killCommandUsByPid.values().stream()
                            .mapToLong(us -> us)
                            .max()
                            .orElse(0));
        }

        /** Returns whether the deadline passed before the process had run for {@code STALL_RECOVERY_US} after a stop. */
        boolean isStalledAtDeadline(long askedUs, long deadlineUs) {
            return stalls.stream()
                    .anyMatch(s -> s.sinceUs <= deadlineUs
                            && askedUs <= s.untilUs
                            && deadlineUs <= s.untilUs + STALL_RECOVERY_US);
        }

        /** Returns whether a kill overlaps the interval and excuses the request, that is, no SIGTERM came long before the request. */
        boolean isExcusedByKill(long askedUs, long endUs) {
            return kills.stream().anyMatch(k -> k.overlaps(askedUs, endUs)) && !hadTermNotice(askedUs, endUs);
        }

        /**
         * Returns whether a process got SIGTERM at least {@code TERM_NOTICE_US} before the request, still ran then, and was itself killed
         * by the end. One that had ended by then can't have taken the request.
         */
        private boolean hadTermNotice(long askedUs, long endUs) {
            return termSignals.stream()
                    .anyMatch(term -> term.us <= askedUs - TERM_NOTICE_US
                            && killSignals.stream()
                                    .anyMatch(kill -> kill.pid == term.pid
                                            && kill.us >= term.us
                                            && kill.us <= endUs + 1_000
                                            && killedUsByPid.getOrDefault(kill.pid, Long.MAX_VALUE) >= askedUs));
        }

        /**
         * Returns whether a kill broke this connection. The connection must have been opened before the process exited, even if a delayed
         * laboratory sent on it only later. A request sent after the next process started may belong to that process.
         */
        boolean isBrokenByKill(Observation asked, Observation broke) {
            return kills.stream()
                            .anyMatch(k -> k.overlaps(broke.earliestStartUs(), broke.us())
                                    && broke.sinceUs() <= nextStartUs(k) + 1_000)
                    && !hadTermNotice(asked.us(), broke.us());
        }

        private long nextStartUs(TimeSpan kill) {
            return startTimesUs.stream()
                    .mapToLong(us -> us)
                    .filter(us -> us >= kill.untilUs)
                    .min()
                    .orElse(Long.MAX_VALUE - 1_000);
        }

        /**
         * Returns whether the process was killed in the interval and no other process could accept the request before its deadline. The
         * connections that the killed process had accepted broke with it. A client that still waits was in the kernel's accept queue,
         * which the next process has to serve.
         */
        boolean isKilledWithoutSuccessor(Observation asked, long endUs, long deadlineUs, AcceptGaps gaps) {
            return isExcusedByKill(asked.us(), endUs)
                    && kills.stream()
                            .filter(k -> k.overlaps(asked.us(), endUs))
                            .anyMatch(k -> endUs <= k.untilUs + KILL_NOTICE_US
                                    || gaps.covers(asked.node(), k.untilUs + KILL_NOTICE_US, deadlineUs));
        }
    }

    /** The command to send a signal to a process. */
    private record ProcessSignal(long us, double pid) {}

    private record TimeSpan(long sinceUs, long untilUs) {
        /** Returns whether the span overlaps the range, within 1 ms. */
        boolean overlaps(long fromUs, long toUs) {
            return untilUs >= fromUs - 1_000 && sinceUs <= toUs + 1_000;
        }
    }

    @Override
    public String rule() {
        return "lost";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        Map<String, ProcessTimeline> timelines = timelines(run);
        AcceptGaps gaps = new AcceptGaps(run);
        List<Violation> violations = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byRequestId().entrySet()) {
            Observation request = e.getValue().stream()
                    .filter(o -> o.what() == EventType.ASKED)
                    .findFirst()
                    .orElse(null);
            if (request == null) {
                continue;
            }
            ProcessTimeline timeline = timelines.computeIfAbsent(request.node(), n -> new ProcessTimeline());
            List<Observation> responses = e.getValue().stream()
                    .filter(o -> o.what() == EventType.ANSWERED)
                    .toList();
            if (responses.size() > 1) {
                violations.add(new Violation(
                        rule(), responses.get(1).us(), e.getKey(), "got " + responses.size() + " responses"));
            }
            long deadlineUs = request.us() + Math.round(request.number() * 1e3);
            for (Observation o : e.getValue()) {
                // Stalls and accept gaps excuse missing responses, but not broken connections, which they cannot cause.
                boolean noProcessAvailable = timeline.isStalledAtDeadline(request.us(), deadlineUs)
                        || gaps.noProcessCouldAccept(request, e.getValue());
                boolean killedInQueue = timeline.isKilledWithoutSuccessor(request, o.us(), deadlineUs, gaps);
                if (o.what() == EventType.GAVE_UP && o.text() == null && !killedInQueue && !noProcessAvailable) {
                    violations.add(new Violation(rule(), o.us(), e.getKey(), "got no response before its deadline"));
                } else if (o.what() == EventType.BROKE && !timeline.isBrokenByKill(request, o)) {
                    if ("part".equals(o.text()) && wasTruncated(e.getValue())) {
                        // A sidecar cannot complete a response that the upstream truncated; the client was informed in
                        // time.
                        continue;
                    }
                    violations.add(new Violation(
                            rule(),
                            o.us(),
                            e.getKey(),
                            "connection ended (" + o.text() + ") without a complete response"));
                }
            }
        }
        for (Observation o : run.observationsOf(EventType.ANSWERED)) {
            if (o.id() == null) {
                violations.add(
                        new Violation(rule(), o.us(), null, "received a response without a request: " + o.text()));
            }
        }
        return violations;
    }

    private static boolean wasTruncated(List<Observation> of) {
        return of.stream().anyMatch(o -> o.what() == EventType.SPOILED);
    }

    private static Map<String, ProcessTimeline> timelines(RecordedRun run) {
        Map<String, ProcessTimeline> timelines = new HashMap<>();
        for (Observation o : run.observationsOf(EventType.NODE)) {
            timelines.computeIfAbsent(o.node(), n -> new ProcessTimeline()).record(o);
        }
        timelines.values().forEach(ProcessTimeline::finish);
        return timelines;
    }
}
