package org.wheatwall.core.batch.model;

/** Content of a record in the job log. */
public sealed interface LogContent {
  /** A job was accepted. The first record of an identifier counts. */
  record Definition(BatchJob job) implements LogContent {}

  /** A job is to be cancelled. */
  record Cancellation(long requestedAtMs) implements LogContent {}

  /**
   * A job has ended.
   *
   * @param reason what ended it, for operators
   * @param endedAtMs milliseconds since 1970 on the decider's clock
   */
  record End(BatchState state, String reason, long endedAtMs) implements LogContent {}

  /** The state of a group of tasks. */
  record Group(GroupState state) implements LogContent {}

  /**
   * Where an entry host takes calls that other entry hosts pass on.
   *
   * @param address IP number and port
   */
  record Host(String address, String zone) implements LogContent {}

  /**
   * Who decides.
   *
   * @param holder name of the host that decides
   * @param address address of that host; a process there that is not this one has replaced it
   * @param incarnation identifier of the deciding process
   * @param term number of the term, 0 in the claim itself, whose offset gives it
   * @param released whether the holder has given the term up
   */
  record Term(String holder, String address, String incarnation, long term, boolean released)
      implements LogContent {}
}
