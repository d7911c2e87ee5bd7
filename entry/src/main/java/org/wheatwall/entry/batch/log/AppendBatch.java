package org.wheatwall.entry.batch.log;

import java.util.ArrayList;
import java.util.List;

/**
 * Records that are sent under one sequence number, and what is known about the calls that carried
 * them. The records may change, and the number may be given to other records, only while no call
 * that carried them may still be carried out.
 */
final class AppendBatch {
  private final long sequence;
  private final long startedMs;
  private List<PendingAppend> items;
  private int callsSent;
  private int callsInFlight;
  private boolean callLost;
  private long firstSentMs;

  /**
   * Creates a batch.
   *
   * @param startedMs lease time at which it was taken from the queue
   */
  AppendBatch(long sequence, List<PendingAppend> items, long startedMs) {
    this.sequence = sequence;
    this.items = List.copyOf(items);
    this.startedMs = startedMs;
  }

  long sequence() {
    return sequence;
  }

  long startedMs() {
    return startedMs;
  }

  List<PendingAppend> items() {
    return items;
  }

  List<KeyedRecord> records() {
    return items.stream().flatMap(item -> item.records().stream()).toList();
  }

  /** Returns the lease time of the first call that may have had an effect. */
  long firstSentMs() {
    return firstSentMs;
  }

  /** Returns whether a call was sent that the log has not certainly refused. */
  boolean mayBeAppended() {
    return callLost || callsInFlight > 0;
  }

  /** Records that a call is sent, and returns its number within the batch. */
  int recordSent(long leaseTimeMs) {
    if (!mayBeAppended()) {
      firstSentMs = leaseTimeMs;
    }
    callsInFlight++;
    return ++callsSent;
  }

  /** Records that a call failed; one that may have had an effect counts as lost. */
  void recordFailed(boolean mayHaveHadEffect) {
    callsInFlight--;
    callLost |= mayHaveHadEffect;
  }

  /** Returns whether no call was sent after this one. */
  boolean isLatest(int call) {
    return call == callsSent;
  }

  /**
   * Removes the records whose deadline has passed and returns them; none if the log may still
   * append them.
   */
  List<PendingAppend> removeExpired(long nowMs) {
    if (mayBeAppended()) {
      return List.of();
    }
    List<PendingAppend> expired = new ArrayList<>();
    List<PendingAppend> remaining = new ArrayList<>();
    items.forEach(item -> (item.isExpired(nowMs) ? expired : remaining).add(item));
    items = remaining;
    return expired;
  }
}
