package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * What a {@link Cluster} should tell, counted anew from the listed hosts and the tasks of the
 * attempts. Nothing is kept but what callers said.
 */
final class ClusterModel {
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private boolean runTimesEverDiffered;

  /** A listed host. */
  static final class Host {
    private final String name;
    private final String rack;
    private ResourceAmount capacity;
    private boolean usable = true;
    private boolean onProbation;
    private double runTimeRatio = 1;
    private ResourceAmount used = ResourceAmount.ZERO;

    private Host(WorkerHost host) {
      this.name = host.name();
      this.rack = host.rack();
      this.capacity = host.capacity();
    }

    String name() {
      return name;
    }

    double runTimeRatio() {
      return runTimeRatio;
    }

    private int runTimeClass() {
      return RunTimeClass.of(runTimeRatio);
    }
  }

  private static final class Attempt {
    private final List<String> taskHosts;
    private final Job job;
    private boolean optionsCount;

    private Attempt(List<String> taskHosts, Job job) {
      this.taskHosts = new ArrayList<>(taskHosts);
      this.job = job;
    }

    private int tasksOn(Host host) {
      return Collections.frequency(taskHosts, host.name);
    }
  }

  void add(WorkerHost added) {
    Host known = hosts.get(added.name());
    if (known != null && known.rack.equals(added.rack())) {
      known.capacity = added.capacity();
    } else {
      hosts.put(added.name(), new Host(added));
    }
  }

  void remove(String name) {
    hosts.remove(name);
  }

  void setUsable(String name, boolean usable) {
    host(name).ifPresent(host -> host.usable = usable);
  }

  void setOnProbation(String name, boolean onProbation) {
    host(name).ifPresent(host -> host.onProbation = onProbation);
  }

  void setRunTimeRatio(String name, double ratio) {
    host(name).ifPresent(host -> host.runTimeRatio = ratio);
    runTimesEverDiffered |= runTimesDiffer();
  }

  void hold(String attemptId, List<String> taskHosts, Job job) {
    attempts.put(attemptId, new Attempt(taskHosts, job));
  }

  void applyJobOptions(String attemptId) {
    attempts.get(attemptId).optionsCount = true;
  }

  void releaseTask(String attemptId, String host) {
    attempts.get(attemptId).taskHosts.remove(host);
  }

  void release(String attemptId) {
    attempts.remove(attemptId);
  }

  void moveTasks(String attemptId, String from, String to) {
    attempts.get(attemptId).taskHosts.replaceAll(host -> host.equals(from) ? to : host);
  }

  List<String> attempts() {
    return List.copyOf(attempts.keySet());
  }

  /** Returns the hosts of the tasks of an attempt, listed or not. */
  List<String> taskHosts(String attemptId) {
    return List.copyOf(attempts.get(attemptId).taskHosts);
  }

  Optional<Host> host(String name) {
    return Optional.ofNullable(hosts.get(name));
  }

  Collection<Host> hosts() {
    return hosts.values();
  }

  Set<String> racks() {
    Set<String> racks = new TreeSet<>();
    hosts.values().forEach(host -> racks.add(host.rack));
    return racks;
  }

  Set<String> hostsIn(String rack) {
    Set<String> names = new TreeSet<>();
    hosts.values().stream().filter(host -> host.rack.equals(rack)).forEach(h -> names.add(h.name));
    return names;
  }

  /** Counts what each host holds, from nothing; due after each change. */
  void recount() {
    for (Host host : hosts.values()) {
      host.used = held(host, job -> true);
    }
  }

  ResourceAmount used(Host host) {
    return host.used;
  }

  private ResourceAmount held(Host host, Predicate<Job> counted) {
    ResourceAmount held = ResourceAmount.ZERO;
    for (Attempt attempt : attempts.values()) {
      int tasks = attempt.tasksOn(host);
      if (tasks > 0 && counted.test(attempt.job)) {
        held = held.plus(attempt.job.taskAmount().times(tasks));
      }
    }
    return held;
  }

  ResourceAmount free(Host host) {
    return host.usable ? host.capacity.minus(used(host)) : ResourceAmount.ZERO;
  }

  ResourceAmount reclaimableOrFree(Host host) {
    return host.usable
        ? host.capacity.minus(held(host, job -> !job.reclaimable()))
        : ResourceAmount.ZERO;
  }

  Set<String> attemptsOn(Host host) {
    Set<String> found = new TreeSet<>();
    attempts.forEach(
        (id, attempt) -> {
          if (attempt.tasksOn(host) > 0) {
            found.add(id);
          }
        });
    return found;
  }

  private int countTasks(Host host, Predicate<JobOptions> counted) {
    int tasks = 0;
    for (Attempt attempt : attempts.values()) {
      if (attempt.optionsCount && counted.test(attempt.job.options())) {
        tasks += attempt.tasksOn(host);
      }
    }
    return tasks;
  }

  int tasksOfSpreadGroup(Host host, String group) {
    return countTasks(host, options -> options.spreadGroup().equals(Optional.of(group)));
  }

  boolean mayShare(Host host, HostSharing sharing) {
    return countTasks(host, options -> !options.sharing().isCompatibleWith(sharing)) == 0;
  }

  boolean holdsSuspects(Host host) {
    return countTasks(host, JobOptions::suspect) > 0;
  }

  NavigableMap<Integer, Set<String>> hostsByFree() {
    NavigableMap<Integer, Set<String>> byFree = new TreeMap<>();
    for (Host host : hosts.values()) {
      put(byFree, free(host).accelerators(), host.name);
    }
    return byFree;
  }

  NavigableMap<Integer, Set<String>> racksByFree() {
    NavigableMap<Integer, Set<String>> byFree = new TreeMap<>();
    for (String rack : racks()) {
      put(byFree, freeIn(rack), rack);
    }
    return byFree;
  }

  /**
   * Returns the racks with hosts of a class by what is free there, empty as long as none is kept.
   */
  NavigableMap<Integer, Set<String>> racksByFree(int runTimeClass) {
    NavigableMap<Integer, Set<String>> byFree = new TreeMap<>();
    for (String rack : runTimesEverDiffered ? racks() : Set.<String>of()) {
      if (hostsOf(rack, runTimeClass) > 0) {
        put(byFree, freeIn(rack, runTimeClass), rack);
      }
    }
    return byFree;
  }

  private static void put(Map<Integer, Set<String>> byFree, int free, String name) {
    byFree.computeIfAbsent(free, key -> new TreeSet<>()).add(name);
  }

  int freeIn(String rack) {
    return sum(host -> host.rack.equals(rack) ? free(host).accelerators() : 0);
  }

  int freeIn(String rack, int runTimeClass) {
    return sum(
        host ->
            host.rack.equals(rack) && host.runTimeClass() == runTimeClass
                ? free(host).accelerators()
                : 0);
  }

  int hostsOf(String rack, int runTimeClass) {
    return sum(host -> host.rack.equals(rack) && host.runTimeClass() == runTimeClass ? 1 : 0);
  }

  int freeAccelerators() {
    return sum(host -> free(host).accelerators());
  }

  int totalAccelerators() {
    return sum(host -> host.capacity.accelerators());
  }

  /** Returns the capacity of the usable hosts, held or free. */
  ResourceAmount usableCapacity() {
    ResourceAmount capacity = ResourceAmount.ZERO;
    for (Host host : hosts.values()) {
      capacity = host.usable ? capacity.plus(host.capacity) : capacity;
    }
    return capacity;
  }

  boolean isLessThanHalfInUse() {
    return 2 * sum(host -> weight(used(host))) < sum(host -> weight(host.capacity));
  }

  private static int weight(ResourceAmount amount) {
    return amount.processors() + 8000 * amount.accelerators();
  }

  boolean runTimesDiffer() {
    return hosts.values().stream().anyMatch(host -> host.runTimeRatio != 1);
  }

  /** Returns the hosts that can start a single task now and are fast enough. */
  Set<String> hostsFor(Job job, double maxRunTimeRatio) {
    Set<String> names = new TreeSet<>();
    for (Host host : hosts.values()) {
      if (host.runTimeRatio <= maxRunTimeRatio && canStart(host, job)) {
        names.add(host.name);
      }
    }
    return names;
  }

  private boolean canStart(Host host, Job job) {
    JobOptions options = job.options();
    boolean spreadAllows =
        options.spreadLimit() == 0
            || options.spreadGroup().isEmpty()
            || tasksOfSpreadGroup(host, options.spreadGroup().get()) < options.spreadLimit();
    boolean probationAllows = !host.onProbation || (!job.urgent() && attemptsOn(host).isEmpty());
    return free(host).covers(job.taskAmount())
        && spreadAllows
        && probationAllows
        && mayShare(host, options.sharing())
        && !(options.suspect() && holdsSuspects(host))
        && !options.avoidedHosts().contains(host.name)
        && options.permits(host.name)
        && options.preferredRack().map(host.rack::equals).orElse(true);
  }

  private int sum(ToIntFunction<Host> amount) {
    return hosts.values().stream().mapToInt(amount).sum();
  }
}
