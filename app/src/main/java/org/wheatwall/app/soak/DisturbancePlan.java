package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** The disturbances of a run, drawn from its seed: single, repeated and overlapping ones. */
final class DisturbancePlan {
  private static final int INITIAL_CALM_MS = 1000;
  private static final int MIN_DURATION_MS = 300;
  private static final int MAX_DURATION_MS = 7000;
  // The time that the platform grants a process for a graceful shutdown.
  private static final int STOP_DURATION_MS = 3500;
  private static final int MS_PER_DISTURBANCE = 1600;
  private static final int SERIES_ONE_IN = 3;
  private static final int MAX_REPEATS = 3;
  private static final int MAX_PAUSE_MS = 900;

  private List<Disturbance> disturbances;
  private long startMs;

  private DisturbancePlan(List<Disturbance> disturbances) {
    this.disturbances = List.copyOf(disturbances);
  }

  /**
   * Moves the complete plan to begin at {@code nextStartMs}. Must be called before it is scheduled.
   */
  void shiftTo(long nextStartMs) {
    long byMs = nextStartMs - startMs;
    startMs = nextStartMs;
    disturbances = disturbances.stream().map(disturbance -> disturbance.shiftedBy(byMs)).toList();
  }

  /** Returns the begin of the plan, milliseconds since the start of the run. */
  long startMs() {
    return startMs;
  }

  /** Returns a plan without disturbances. */
  static DisturbancePlan empty() {
    return new DisturbancePlan(List.of());
  }

  /** Returns a plan of the given disturbances. */
  static DisturbancePlan of(List<Disturbance> disturbances) {
    return new DisturbancePlan(disturbances);
  }

  /** Draws a plan from the seed of the settings. */
  static DisturbancePlan draw(SoakSettings settings) {
    SplittableRandom random = new SplittableRandom(settings.seed());
    List<Disturbance> drawn = new ArrayList<>();
    int count = Math.max(1, settings.durationMs() / MS_PER_DISTURBANCE);
    for (int i = 0; i < count; i++) {
      drawSeries(settings, DisturbanceKind.baseKinds(), random, drawn);
    }
    if (settings.hard()) {
      SplittableRandom hardRandom = new SplittableRandom(~settings.seed());
      for (int i = 0; i < count / 2; i++) {
        drawSeries(settings, DisturbanceKind.hardKinds(), hardRandom, drawn);
      }
    }
    drawn.sort(Comparator.comparingLong(Disturbance::fromMs));
    return new DisturbancePlan(drawn);
  }

  private static void drawSeries(
      SoakSettings settings,
      List<DisturbanceKind> kinds,
      SplittableRandom random,
      List<Disturbance> drawn) {
    DisturbanceKind kind = kinds.get(random.nextInt(kinds.size()));
    int targets =
        kind.scope() == DisturbanceKind.Scope.WORKER ? settings.workers() : settings.hosts();
    int target = random.nextInt(targets);
    int repeats = random.nextInt(SERIES_ONE_IN) == 0 ? 1 + random.nextInt(MAX_REPEATS) : 0;
    long fromMs = (long) INITIAL_CALM_MS + random.nextInt(settings.durationMs());
    for (int i = 0; i <= repeats; i++) {
      long lengthMs = drawDurationMs(kind, random);
      if (fromMs + lengthMs > settings.durationMs()) {
        return;
      }
      drawn.add(new Disturbance(kind, target, fromMs, fromMs + lengthMs));
      fromMs += lengthMs + random.nextInt(MAX_PAUSE_MS);
    }
  }

  private static long drawDurationMs(DisturbanceKind kind, SplittableRandom random) {
    return switch (kind) {
      case HOST_STOPPED -> STOP_DURATION_MS;
      case STORE_HISTORY_DROPPED, HOST_RELOADED, CONFIGURATION_CHANGED -> MIN_DURATION_MS;
      default -> random.nextInt(MIN_DURATION_MS, MAX_DURATION_MS);
    };
  }

  List<Disturbance> disturbances() {
    return disturbances;
  }

  /**
   * Returns whether no disturbance of a kind other than {@code except} affects a host between two
   * times.
   */
  boolean isCalm(int host, long fromMs, long untilMs, DisturbanceKind except) {
    return isCalm(host, fromMs, untilMs, disturbance -> disturbance.kind() == except);
  }

  /** Returns whether no disturbance affects a host between two times. */
  boolean isCalm(int host, long fromMs, long untilMs) {
    return isCalm(host, fromMs, untilMs, disturbance -> false);
  }

  private boolean isCalm(int host, long fromMs, long untilMs, Predicate<Disturbance> except) {
    return disturbances.stream()
        .filter(except.negate())
        .noneMatch(
            disturbance -> disturbance.affectsHost(host) && disturbance.overlaps(fromMs, untilMs));
  }

  /** Returns whether a host is shutting down gracefully at a time. */
  boolean isStopping(int host, long atMs) {
    return disturbances.stream()
        .filter(disturbance -> disturbance.kind() == DisturbanceKind.HOST_STOPPED)
        .anyMatch(disturbance -> disturbance.target() == host && disturbance.overlaps(atMs, atMs));
  }
}
