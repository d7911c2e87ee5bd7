package org.wheatwall.entry.job;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.HostAdminState;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.Workspace;

/** The part of the configuration that the job plane of one zone needs. */
final class JobConfiguration {
  private final String zone;
  private final Map<String, ConfiguredJob> jobs = new TreeMap<>();
  private final Map<String, Workspace> workspaces = new TreeMap<>();
  private final Map<String, GuaranteedShape> shapes = new TreeMap<>();
  private final Map<String, PolicySpec> policies = new TreeMap<>();
  private final Map<String, HostAdminState> hostAdminStates = new TreeMap<>();

  /** Parts of the configuration, besides jobs, whose change the decider has to apply. */
  enum ChangedPart {
    WORKSPACES,
    SHAPES,
    POLICIES,
    HOSTS
  }

  JobConfiguration(String zone) {
    this.zone = zone;
  }

  /** Applies one changed object; returns the part that it changes, empty for a job. */
  Optional<ChangedPart> apply(StoredResource stored, long nowMs) {
    String name = stored.key().name();
    return switch (stored.key().kind()) {
      case JOBS -> {
        applyJob(stored, nowMs);
        yield Optional.empty();
      }
      case WORKSPACES -> {
        put(workspaces, name, stored, Workspace.class);
        yield Optional.of(ChangedPart.WORKSPACES);
      }
      case SHAPES -> {
        put(shapes, name, stored, GuaranteedShape.class);
        shapes.values().removeIf(shape -> !shape.zone().equals(zone));
        yield Optional.of(ChangedPart.SHAPES);
      }
      case POLICIES -> {
        put(policies, name, stored, PolicySpec.class);
        yield Optional.of(ChangedPart.POLICIES);
      }
      case HOSTS -> {
        put(hostAdminStates, name, stored, HostAdminState.class);
        yield Optional.of(ChangedPart.HOSTS);
      }
      case SERVICES, VIEWS -> Optional.empty();
    };
  }

  Map<String, ConfiguredJob> jobs() {
    return jobs;
  }

  Map<String, Workspace> workspaces() {
    return workspaces;
  }

  Map<String, GuaranteedShape> shapes() {
    return shapes;
  }

  Map<String, PolicySpec> policies() {
    return policies;
  }

  Map<String, HostAdminState> hostAdminStates() {
    return hostAdminStates;
  }

  Set<String> cordoned() {
    Set<String> names = new HashSet<>();
    hostAdminStates.forEach(
        (name, adminState) -> {
          if (adminState.cordoned()) {
            names.add(name);
          }
        });
    return names;
  }

  /** Returns the names of the jobs among {@code changed}. */
  static Collection<String> jobNames(Collection<StoredResource> changed) {
    Set<String> names = new HashSet<>();
    for (StoredResource stored : changed) {
      if (stored.key().kind() == org.wheatwall.core.configuration.model.ResourceKind.JOBS) {
        names.add(stored.key().name());
      }
    }
    return names;
  }

  private void applyJob(StoredResource stored, long nowMs) {
    String name = stored.key().name();
    if (stored.value().orElse(null) instanceof Job job && job.zone().equals(zone)) {
      ConfiguredJob known = jobs.get(name);
      long firstSeenMs = known == null ? nowMs : known.firstSeenMs();
      jobs.put(name, new ConfiguredJob(name, job, stored.version(), firstSeenMs));
    } else {
      jobs.remove(name);
    }
  }

  private static <T> void put(
      Map<String, T> map, String name, StoredResource stored, Class<T> type) {
    Optional<T> value = stored.value().filter(type::isInstance).map(type::cast);
    if (value.isPresent()) {
      map.put(name, value.get());
    } else {
      map.remove(name);
    }
  }
}
