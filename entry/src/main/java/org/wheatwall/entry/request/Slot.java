package org.wheatwall.entry.request;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Leave to have one request in flight at a runner. Given back exactly once. */
final class Slot {
  private final String runner;
  private final InetSocketAddress address;
  private final boolean isInOwnZone;
  private final Consumer<SlotOutcome> release;
  private final AtomicBoolean released = new AtomicBoolean();

  /**
   * Creates a slot.
   *
   * @param ofOwnZone whether the runner is in this host's zone
   * @param giveBack told how the request ended, once
   */
  Slot(
      String runner, InetSocketAddress address, boolean ofOwnZone, Consumer<SlotOutcome> giveBack) {
    this.isInOwnZone = ofOwnZone;
    this.runner = runner;
    this.address = address;
    this.release = giveBack;
  }

  String runner() {
    return runner;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns whether the runner is in this host's zone. */
  boolean isInOwnZone() {
    return isInOwnZone;
  }

  void release(SlotOutcome end) {
    if (released.compareAndSet(false, true)) {
      release.accept(end);
    }
  }
}
