package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.job.model.WorkspaceShareSettings;

/** What dividing capacity between ten workspaces is worth under overload, and costs otherwise. */
final class WorkspaceLoadTest {
  private static final int SEEDS = 3;
  private static final int WORKSPACES = 10;
  private static final double OVERLOAD = 1.5;
  private static final double MAX_LOSS_OF_THROUGHPUT = 0.02;

  private static List<WorkspaceLoadSimulation> runs(
      Optional<WorkspaceShareSettings> shares, double skew, double load) {
    List<WorkspaceLoadSimulation> runs = new ArrayList<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      WorkspaceLoadSimulation.Load offered =
          new WorkspaceLoadSimulation.Load(WORKSPACES, skew, load);
      runs.add(
          new WorkspaceLoadSimulation(WorkspaceLoadSimulation.settings(shares), seed, offered)
              .run());
    }
    runs.forEach(run -> assertThat(run.jobsEnded()).isEqualTo(run.jobsSubmitted()));
    return runs;
  }

  private static List<WorkspaceLoadSimulation> with(double skew, double load) {
    return runs(Optional.of(WorkspaceShareSettings.USUAL), skew, load);
  }

  private static List<WorkspaceLoadSimulation> without(double skew, double load) {
    return runs(Optional.empty(), skew, load);
  }

  private static double meanEarned(List<WorkspaceLoadSimulation> runs) {
    return runs.stream().mapToDouble(WorkspaceLoadSimulation::meanEarned).average().orElseThrow();
  }

  // The smaller half asks for less than its share, so that it should hardly notice the overload.
  private static double delayOfSmallerHalfMs(List<WorkspaceLoadSimulation> runs) {
    return runs.stream()
        .flatMapToDouble(
            run ->
                run.tallies().keySet().stream()
                    .filter(name -> name.charAt(name.length() - 1) >= '5')
                    .mapToDouble(run::meanStartDelayMs))
        .average()
        .orElseThrow();
  }

  @Test
  void workspacesThatAskForLessThanTheirShareWaitLessIfDemandIsUnequal() {
    assertSmallerHalfWaitsLess(1.2);
  }

  @Test
  void workspacesThatAskForLessThanTheirShareWaitLessIfDemandIsVeryUnequal() {
    assertSmallerHalfWaitsLess(2);
  }

  private static void assertSmallerHalfWaitsLess(double skew) {
    List<WorkspaceLoadSimulation> with = with(skew, OVERLOAD);
    List<WorkspaceLoadSimulation> without = without(skew, OVERLOAD);
    String results = "with " + with + " without " + without;
    assertWithMessage(results)
        .that(delayOfSmallerHalfMs(with))
        .isLessThan(delayOfSmallerHalfMs(without));
    assertWithMessage(results).that(meanEarned(with)).isGreaterThan(meanEarned(without));
  }

  @Test
  void equalWorkspacesGetTheSameThroughput() {
    double with = throughput(with(0, 1));
    double without = throughput(without(0, 1));
    assertThat(with).isAtLeast(without * (1 - MAX_LOSS_OF_THROUGHPUT));
  }

  private static double throughput(List<WorkspaceLoadSimulation> runs) {
    return runs.stream().mapToDouble(WorkspaceLoadSimulation::acceleratorSecondsPerSecond).sum();
  }
}
