package org.wheatwall.core.batch.decision;

/** Whether new work may be placed on a worker, or why not. */
enum WorkerState {
  USABLE("usable"),
  UNLISTED("unlisted"),
  DRAINING("leaving"),
  EVACUATED("in an evacuated zone"),
  NOT_REPORTED("not heard"),
  SUSPECTED("without an answer"),
  LEASES_STOPPED("heard, its leases not yet extended"),
  STARTS_DELAYED("delayed after refusals"),
  AVOIDED("left aside as slow");

  private final String text;

  WorkerState(String text) {
    this.text = text;
  }

  /** Returns the description for operators. */
  String text() {
    return text;
  }
}
