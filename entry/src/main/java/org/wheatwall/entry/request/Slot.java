package org.wheatwall.entry.request;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Permission to have one request in flight at a runner. Released exactly once. */
final class Slot {
  private final String runner;
  private final InetSocketAddress address;
  private final boolean inOwnZone;
  private final Consumer<SlotOutcome> onRelease;
  private final AtomicBoolean released = new AtomicBoolean();

  /**
   * Creates a slot.
   *
   * @param inOwnZone whether the runner is in this host's zone
   * @param onRelease called once with the outcome of the request
   */
  Slot(
      String runner,
      InetSocketAddress address,
      boolean inOwnZone,
      Consumer<SlotOutcome> onRelease) {
    this.inOwnZone = inOwnZone;
    this.runner = runner;
    this.address = address;
    this.onRelease = onRelease;
  }

  String runner() {
    return runner;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns whether the runner is in this host's zone. */
  boolean isInOwnZone() {
    return inOwnZone;
  }

  void release(SlotOutcome outcome) {
    if (released.compareAndSet(false, true)) {
      onRelease.accept(outcome);
    }
  }
}
