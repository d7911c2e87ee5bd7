package org.wheatwall.entry.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** An operator who evacuates availability zones, and what each host has read of that. */
final class SimulatedOperator {
  private static final int MAX_READ_DELAY_MS = 400;
  private static final int MAX_VIEW_AGE_MS = 4000;

  private final VirtualTime time;
  private final SimulatedStore store;
  private final Map<String, Long> evacuatedSinceMs = new HashMap<>();
  private final Map<SimulatedHost, View> views = new HashMap<>();

  private record View(Set<String> zones, long readAtMs) {}

  SimulatedOperator(VirtualTime time, SimulatedStore store) {
    this.time = time;
    this.store = store;
  }

  void evacuate(String zone) {
    evacuatedSinceMs.putIfAbsent(zone, time.nowMs());
  }

  void restore(String zone) {
    evacuatedSinceMs.remove(zone);
  }

  /** Returns for how long a zone has been evacuated, milliseconds; 0 if it is not. */
  long evacuatedForMs(String zone) {
    Long sinceMs = evacuatedSinceMs.get(zone);
    return sinceMs == null ? 0 : time.nowMs() - sinceMs;
  }

  /** Starts to read for a process of a host. */
  ZoneEvacuations startReading(SimulatedHost host) {
    views.remove(host);
    read(host);
    return () ->
        Optional.ofNullable(views.get(host))
            .filter(view -> time.nowMs() - view.readAtMs() <= MAX_VIEW_AGE_MS)
            .map(View::zones);
  }

  private void read(SimulatedHost host) {
    Set<String> zones = new HashSet<>(evacuatedSinceMs.keySet());
    long readAtMs = time.nowMs();
    boolean isReadable = !store.isPartitioned(host) && !host.isFrozen();
    time.after(
        1L + time.random().nextInt(MAX_READ_DELAY_MS),
        () -> {
          if (isReadable && host.isAlive()) {
            views.put(host, new View(zones, readAtMs));
            host.batch().onEvacuationsChanged();
          }
          if (host.isAlive()) {
            read(host);
          }
        });
  }
}
