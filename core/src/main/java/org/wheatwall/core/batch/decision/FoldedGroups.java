package org.wheatwall.core.batch.decision;

import java.util.BitSet;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.LogContent;

/**
 * The done groups of a job that are kept as positions in bit sets, without states and records of
 * their own.
 */
final class FoldedGroups {
  private final GroupNumbering numbering;
  private final TreeMap<Integer, BitSet> occurrences = new TreeMap<>();
  private int wholeOccurrences;

  FoldedGroups(GroupNumbering numbering) {
    this.numbering = numbering;
  }

  /** Replaces the content by that of a record. */
  void restore(LogContent.DoneGroups content) {
    occurrences.clear();
    occurrences.putAll(content.occurrences());
    wholeOccurrences = content.wholeOccurrences();
  }

  /** Returns the content as a record. */
  LogContent.DoneGroups content() {
    return new LogContent.DoneGroups(wholeOccurrences, occurrences);
  }

  boolean isEmpty() {
    return wholeOccurrences == 0 && occurrences.isEmpty();
  }

  /** Returns the number of the first occurrence of which not all groups are contained. */
  int wholeOccurrences() {
    return wholeOccurrences;
  }

  boolean contains(GroupKey group) {
    if (group.occurrence() < wholeOccurrences) {
      return true;
    }
    BitSet positions = occurrences.get(group.occurrence());
    return positions != null && positions.get(numbering.positionOf(group));
  }

  void add(GroupKey group) {
    if (group.occurrence() < wholeOccurrences) {
      return;
    }
    occurrences
        .computeIfAbsent(group.occurrence(), number -> new BitSet())
        .set(numbering.positionOf(group));
    while (isWhole(wholeOccurrences)) {
      occurrences.remove(wholeOccurrences++);
    }
  }

  private boolean isWhole(int occurrence) {
    BitSet positions = occurrences.get(occurrence);
    return positions != null && positions.cardinality() == numbering.groupsOfOccurrence();
  }

  /** Passes each contained group of the occurrences that are not whole to {@code action}. */
  void forEachOfOpenOccurrences(Consumer<GroupKey> action) {
    occurrences.forEach(
        (occurrence, positions) ->
            positions.stream()
                .forEach(position -> action.accept(numbering.groupAt(occurrence, position))));
  }

  /** Returns the approximate size of the record, bytes. */
  int bytes() {
    return occurrences.size() * (numbering.groupsOfOccurrence() / Byte.SIZE + Long.BYTES);
  }
}
