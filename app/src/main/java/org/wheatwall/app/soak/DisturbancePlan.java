package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** The disturbances of a run, drawn from its seed: single ones, series, and ones that overlap. */
final class DisturbancePlan {
  private static final int CALM_START_MS = 1000;
  private static final int SHORTEST_MS = 300;
  private static final int LONGEST_MS = 7000;
  // A planned stop takes as long as the time that the platform grants.
  private static final int STOP_MS = 3500;
  private static final int MS_PER_DISTURBANCE = 1600;
  private static final int ONE_IN_SERIES = 3;
  private static final int MOST_REPEATS = 3;
  private static final int MOST_PAUSE_MS = 900;

  private List<Disturbance> disturbances;
  private long startMs;

  private DisturbancePlan(List<Disturbance> disturbances) {
    this.disturbances = List.copyOf(disturbances);
  }

  /** Moves the whole plan, so that it begins at {@code nextStartMs}; before it is carried out. */
  void shiftTo(long nextStartMs) {
    long byMs = nextStartMs - startMs;
    startMs = nextStartMs;
    disturbances = disturbances.stream().map(each -> each.later(byMs)).toList();
  }

  /** Returns when it begins. */
  long startMs() {
    return startMs;
  }

  /** Returns a plan without disturbances. */
  static DisturbancePlan calm() {
    return new DisturbancePlan(List.of());
  }

  /** Returns a plan of the disturbances given. */
  static DisturbancePlan of(List<Disturbance> disturbances) {
    return new DisturbancePlan(disturbances);
  }

  /** Draws the plan of a seed. */
  static DisturbancePlan draw(SoakSettings settings) {
    SplittableRandom random = new SplittableRandom(settings.seed());
    List<Disturbance> drawn = new ArrayList<>();
    int count = Math.max(1, settings.durationMs() / MS_PER_DISTURBANCE);
    for (int i = 0; i < count; i++) {
      drawSeries(settings, DisturbanceKind.first(), random, drawn);
    }
    if (settings.hard()) {
      SplittableRandom other = new SplittableRandom(~settings.seed());
      for (int i = 0; i < count / 2; i++) {
        drawSeries(settings, DisturbanceKind.later(), other, drawn);
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
    int repeats = random.nextInt(ONE_IN_SERIES) == 0 ? 1 + random.nextInt(MOST_REPEATS) : 0;
    long fromMs = (long) CALM_START_MS + random.nextInt(settings.durationMs());
    for (int i = 0; i <= repeats; i++) {
      long lasts = lasts(kind, random);
      if (fromMs + lasts > settings.durationMs()) {
        return;
      }
      drawn.add(new Disturbance(kind, target, fromMs, fromMs + lasts));
      fromMs += lasts + random.nextInt(MOST_PAUSE_MS);
    }
  }

  private static long lasts(DisturbanceKind kind, SplittableRandom random) {
    return switch (kind) {
      case HOST_STOPPED -> STOP_MS;
      case STORE_HISTORY_DROPPED, HOST_RELOADED, CONFIGURATION_CHANGED -> SHORTEST_MS;
      default -> random.nextInt(SHORTEST_MS, LONGEST_MS);
    };
  }

  List<Disturbance> disturbances() {
    return disturbances;
  }

  /** Returns whether nothing that strikes a host lasts between two moments, but one kind. */
  boolean isCalm(int host, long fromMs, long untilMs, DisturbanceKind except) {
    return isCalm(host, fromMs, untilMs, disturbance -> disturbance.kind() == except);
  }

  /** Returns whether nothing that strikes a host lasts between two moments. */
  boolean isCalm(int host, long fromMs, long untilMs) {
    return isCalm(host, fromMs, untilMs, disturbance -> false);
  }

  private boolean isCalm(int host, long fromMs, long untilMs, Predicate<Disturbance> except) {
    return disturbances.stream()
        .filter(except.negate())
        .noneMatch(
            disturbance -> disturbance.strikesHost(host) && disturbance.overlaps(fromMs, untilMs));
  }

  /** Returns whether a host is being stopped as planned at a moment. */
  boolean isStopping(int host, long atMs) {
    return disturbances.stream()
        .filter(disturbance -> disturbance.kind() == DisturbanceKind.HOST_STOPPED)
        .anyMatch(disturbance -> disturbance.target() == host && disturbance.overlaps(atMs, atMs));
  }
}
