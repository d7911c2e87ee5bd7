package org.wheatwall.app.account;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** One job from its acceptance to its end, put together from the lines of all hosts. */
final class JobStory {
  private final String id;
  private final LogLine accepted;
  private final Map<String, GroupStory> groups = new LinkedHashMap<>();
  private OptionalLong endMs = OptionalLong.empty();
  private String outcome = "";

  JobStory(LogLine accepted) {
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

  /** Returns the time within which it was to be done, 0 if its queue has no objective. */
  long objectiveMs() {
    return accepted.number("objectiveMs");
  }

  Iterable<GroupStory> groups() {
    return groups.values();
  }

  /** Returns how it ended, empty text if it did not. */
  String outcome() {
    return outcome;
  }

  boolean succeeded() {
    return outcome.equals("SUCCEEDED");
  }

  /** Returns the time from its arrival to its end, empty if it did not end. */
  OptionalLong tookMs() {
    return endMs.isPresent()
        ? OptionalLong.of(endMs.getAsLong() - arrivedMs())
        : OptionalLong.empty();
  }

  boolean late() {
    return objectiveMs() > 0 && tookMs().orElse(0) > objectiveMs();
  }

  /** Takes in a line about this job. */
  void take(LogLine line) {
    if (line.event().equals("JOB_ENDED")) {
      if (endMs.isEmpty()) {
        endMs = OptionalLong.of(line.atMs());
        outcome = line.field("subject");
      }
      return;
    }
    String subject = line.field("subject");
    if (subject.startsWith(id + ".")) {
      groups.computeIfAbsent(subject, JobStory::group).take(line);
    }
  }

  // A group is named JOB.OCCURRENCE.STEP or JOB.OCCURRENCE.STEP.INDEX.
  private static GroupStory group(String name) {
    String[] parts = name.split("\\.", -1);
    return new GroupStory(parts.length > 2 ? Integer.parseInt(parts[2]) : 0);
  }

  /**
   * Returns what its time went into, along the groups that held its end up: the last one that was
   * done, and before it the last one of the steps before.
   */
  Map<TimeUse, Long> uses(DeciderGaps gaps) {
    Map<TimeUse, Long> uses = new EnumMap<>(TimeUse.class);
    uses.put(TimeUse.ACCEPTING, accepted.number("tookMs"));
    Optional<GroupStory> current = lastDone(Integer.MAX_VALUE);
    while (current.isPresent()) {
      Optional<GroupStory> before = lastDone(current.get().step());
      long readyMs = before.map(group -> group.doneMs().orElseThrow()).orElse(accepted.atMs());
      current.get().addTime(readyMs, gaps, uses);
      current = before;
    }
    return uses;
  }

  private Optional<GroupStory> lastDone(int beforeStep) {
    return groups.values().stream()
        .filter(group -> group.step() < beforeStep && group.doneMs().isPresent())
        .max(Comparator.comparingLong(group -> group.doneMs().orElseThrow()));
  }
}
