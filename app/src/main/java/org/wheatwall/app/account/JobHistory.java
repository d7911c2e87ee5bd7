package org.wheatwall.app.account;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** One job from its acceptance to its end, collected from the log lines of all hosts. */
final class JobHistory {
  private final String id;
  private final LogLine accepted;
  private final Map<String, GroupHistory> groups = new LinkedHashMap<>();
  private OptionalLong endMs = OptionalLong.empty();
  private String outcome = "";

  JobHistory(LogLine accepted) {
    this.id = accepted.field("job");
    this.accepted = accepted;
  }

  String id() {
    return id;
  }

  String queue() {
    return accepted.field("queue");
  }

  long arrivedMs() {
    return accepted.atMs() - accepted.number("tookMs");
  }

  /** Returns its completion time objective in milliseconds, 0 if its queue has none. */
  long objectiveMs() {
    return accepted.number("objectiveMs");
  }

  Iterable<GroupHistory> groups() {
    return groups.values();
  }

  /** Returns its outcome, an empty string if it has not ended. */
  String outcome() {
    return outcome;
  }

  boolean succeeded() {
    return outcome.equals("SUCCEEDED");
  }

  /** Returns the milliseconds from its arrival to its end, empty if it has not ended. */
  OptionalLong tookMs() {
    return endMs.isPresent()
        ? OptionalLong.of(endMs.getAsLong() - arrivedMs())
        : OptionalLong.empty();
  }

  boolean isLate() {
    return objectiveMs() > 0 && tookMs().orElse(0) > objectiveMs();
  }

  /** Processes a line about this job. */
  void apply(LogLine line) {
    if (line.event().equals("JOB_ENDED")) {
      if (endMs.isEmpty()) {
        endMs = OptionalLong.of(line.atMs());
        outcome = line.field("subject");
      }
      return;
    }
    String subject = line.field("subject");
    if (subject.startsWith(id + ".")) {
      groups.computeIfAbsent(subject, JobHistory::group).apply(line);
    }
  }

  // A group is named JOB.OCCURRENCE.STEP or JOB.OCCURRENCE.STEP.INDEX.
  private static GroupHistory group(String name) {
    String[] parts = name.split("\\.", -1);
    return new GroupHistory(parts.length > 2 ? Integer.parseInt(parts[2]) : 0);
  }

  /**
   * Returns its time by category in milliseconds, along its critical path: the group that was done
   * last, and before it the last one of the earlier steps.
   */
  Map<TimeCategory, Long> timeByCategory(DeciderGaps gaps) {
    Map<TimeCategory, Long> timeByCategory = new EnumMap<>(TimeCategory.class);
    timeByCategory.put(TimeCategory.ACCEPTING, accepted.number("tookMs"));
    Optional<GroupHistory> current = lastDone(Integer.MAX_VALUE);
    while (current.isPresent()) {
      Optional<GroupHistory> previous = lastDone(current.get().step());
      long readyMs = previous.map(group -> group.doneMs().orElseThrow()).orElse(accepted.atMs());
      current.get().addTime(readyMs, gaps, timeByCategory);
      current = previous;
    }
    return timeByCategory;
  }

  private Optional<GroupHistory> lastDone(int beforeStep) {
    return groups.values().stream()
        .filter(group -> group.step() < beforeStep && group.doneMs().isPresent())
        .max(Comparator.comparingLong(group -> group.doneMs().orElseThrow()));
  }
}
