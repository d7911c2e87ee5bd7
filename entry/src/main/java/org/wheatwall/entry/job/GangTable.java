package org.wheatwall.entry.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wheatwall.core.gang.decision.GangAttempt;

/** The attempts of a decider, by identifier and by worker. Confined to the decision loop. */
final class GangTable {
  private final Map<String, GangAttempt> attempts = new LinkedHashMap<>();
  private final Map<String, Set<String>> byHost = new HashMap<>();

  void add(GangAttempt attempt) {
    attempts.put(attempt.attemptId(), attempt);
    for (String host : attempt.hosts()) {
      byHost.computeIfAbsent(host, name -> new TreeSet<>()).add(attempt.attemptId());
    }
  }

  void remove(GangAttempt attempt) {
    attempts.remove(attempt.attemptId());
    for (String host : attempt.hosts()) {
      Set<String> attemptIds = byHost.get(host);
      if (attemptIds != null) {
        attemptIds.remove(attempt.attemptId());
        if (attemptIds.isEmpty()) {
          byHost.remove(host);
        }
      }
    }
  }

  void clear() {
    attempts.clear();
    byHost.clear();
  }

  Optional<GangAttempt> get(String attemptId) {
    return Optional.ofNullable(attempts.get(attemptId));
  }

  Collection<GangAttempt> all() {
    return attempts.values();
  }

  List<GangAttempt> onHost(String host) {
    List<GangAttempt> found = new ArrayList<>();
    for (String attemptId : byHost.getOrDefault(host, Set.of())) {
      found.add(attempts.get(attemptId));
    }
    return found;
  }

  /** Returns the workers on which at least one attempt has a part. */
  Set<String> hosts() {
    return byHost.keySet();
  }
}
