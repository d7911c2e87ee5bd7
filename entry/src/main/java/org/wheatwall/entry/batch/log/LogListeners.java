package org.wheatwall.entry.batch.log;

import java.util.List;

/** Passes everything that is read from a log to several listeners, in their order. */
public final class LogListeners implements LogFollower.Listener {
  private final List<LogFollower.Listener> listeners;

  /** Creates the listener. */
  public LogListeners(List<LogFollower.Listener> listeners) {
    this.listeners = List.copyOf(listeners);
  }

  @Override
  public void onReset(List<KeyedLog.NewestRecord> newest) {
    listeners.forEach(listener -> listener.onReset(newest));
  }

  @Override
  public void onRecord(KeyedRecord record, long offset) {
    listeners.forEach(listener -> listener.onRecord(record, offset));
  }

  @Override
  public void onCaughtUp() {
    listeners.forEach(LogFollower.Listener::onCaughtUp);
  }

  @Override
  public void onRecovered() {
    listeners.forEach(LogFollower.Listener::onRecovered);
  }
}
