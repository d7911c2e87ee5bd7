package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.entry.batch.peer.ReachabilityPort;
import org.wheatwall.entry.batch.peer.ReachabilityReport;
import org.wheatwall.entry.batch.worker.WorkerPort;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Compares which workers this host and other hosts reach. All of them try the same sample of
 * workers in the same way, so a host that is only slow is not mistaken for a partitioned one. The
 * number of connections of a survey does not depend on the size of the cluster.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class ReachabilitySurvey {
  private static final int MIN_INTERVAL_MS = 1500;
  // The interval grows while no host does better, for example because a rack has failed.
  private static final int MAX_INTERVAL_MS = 3000;
  // If half of the hosts are partitioned, all of so many are with a probability of 1 in 4000.
  private static final int MAX_PEERS = 12;
  // Few enough for a host with a third of a core to try them within its time limit.
  private static final int MAX_WORKERS = 16;
  // With a smaller difference, the loss of time at a take-over outweighs the gain.
  private static final int MIN_ADVANTAGE_FACTOR = 2;

  private final WorkerPort workers;
  private final ReachabilityPort peers;
  private final String ownName;
  private final BatchContext context;
  private long startedAtMs = Long.MIN_VALUE / 2;
  private int intervalMs = MIN_INTERVAL_MS;
  private boolean running;
  private int surveys;

  /**
   * The result of a survey.
   *
   * @param responses number of hosts that responded
   * @param successor name of the host that should decide, if one reaches far more workers
   */
  record Result(int responses, Optional<String> successor) {}

  private record Candidate(String name, ReachabilityReport report) {}

  ReachabilitySurvey(
      WorkerPort workers, ReachabilityPort peers, String ownName, BatchContext context) {
    this.workers = workers;
    this.peers = peers;
    this.ownName = ownName;
    this.context = context;
  }

  /** Returns whether the last survey is over and began long enough ago. */
  boolean isDue() {
    return !running && context.clock().nowMs() - startedAtMs >= intervalMs;
  }

  /** Records that no survey is needed now. */
  void onNotNeeded() {
    intervalMs = MIN_INTERVAL_MS;
  }

  /**
   * Starts a survey.
   *
   * @param listed the workers to choose the sample from
   * @param hosts the registered hosts by name
   * @param onDone receives the result on the decision loop
   */
  void start(List<WorkerInfo> listed, Map<String, LogContent.Host> hosts, Consumer<Result> onDone) {
    running = true;
    startedAtMs = context.clock().nowMs();
    List<String> sample =
        spread(listed, MAX_WORKERS, surveys).stream().map(WorkerInfo::address).toList();
    Map<String, LogContent.Host> others = new TreeMap<>(hosts);
    others.remove(ownName);
    List<String> asked = spread(List.copyOf(others.keySet()), MAX_PEERS, surveys);
    surveys++;
    CompletableFuture<Integer> own = countReachable(workers, sample);
    List<CompletableFuture<Optional<Candidate>>> responses =
        asked.stream().map(name -> ask(name, others.get(name).address(), sample)).toList();
    CompletableFuture<Void> all =
        CompletableFuture.allOf(responses.toArray(new CompletableFuture<?>[0]))
            .thenCombine(own, (done, count) -> null);
    LoopCallbacks.whenDone(
        all,
        context.loop(),
        (done, failure) -> {
          running = false;
          intervalMs = Math.min(MAX_INTERVAL_MS, 2 * intervalMs);
          onDone.accept(evaluate(own.join(), sample.size(), asked.size(), responses));
        });
  }

  /** Counts the workers to which a connection can be opened; the future never fails. */
  static CompletableFuture<Integer> countReachable(WorkerPort workers, List<String> addresses) {
    List<CompletableFuture<Boolean>> attempts =
        addresses.stream().map(workers::isReachable).toList();
    return CompletableFuture.allOf(attempts.toArray(new CompletableFuture<?>[0]))
        .thenApply(done -> (int) attempts.stream().filter(CompletableFuture::join).count());
  }

  private CompletableFuture<Optional<Candidate>> ask(
      String name, String address, List<String> sample) {
    return peers
        .countReachable(address, sample)
        .handle(
            (report, failure) ->
                failure == null ? Optional.of(new Candidate(name, report)) : Optional.empty());
  }

  private Result evaluate(
      int own, int sampled, int asked, List<CompletableFuture<Optional<Candidate>>> responses) {
    List<Candidate> candidates =
        responses.stream().flatMap(response -> response.join().stream()).toList();
    Optional<Candidate> best =
        candidates.stream()
            .max(
                Comparator.comparingInt((Candidate c) -> c.report().reachableWorkers())
                    .thenComparingInt(c -> -c.report().claimDelayMs()));
    Optional<String> successor =
        best.filter(c -> c.report().reachableWorkers() >= Math.max(1, MIN_ADVANTAGE_FACTOR * own))
            .map(Candidate::name);
    context
        .decisions()
        .log(
            "reachability-surveyed",
            field("sampled", sampled),
            field("own", own),
            field("asked", asked),
            field("answered", candidates.size()),
            field("best", best.map(c -> c.name() + "=" + c.report().reachableWorkers()).orElse("")),
            field("successor", successor.orElse("")));
    return new Result(candidates.size(), successor);
  }

  // Chooses elements at equal distances, other ones in each survey.
  private static <T> List<T> spread(List<T> all, int max, int offset) {
    int count = Math.min(max, all.size());
    List<T> chosen = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      chosen.add(all.get((int) ((offset + (long) i * all.size() / count) % all.size())));
    }
    return chosen;
  }
}
