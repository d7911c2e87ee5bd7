package org.wheatwall.wire.platform;

import java.util.Locale;
import java.util.Objects;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.request.model.Runner;

/**
 * A host in the platform's list. Fields that a role does not need are absent.
 *
 * @param address IP address and port
 * @param rack rack of a worker
 * @param capacity resources of a worker
 * @param service service of a runner
 * @param slots number of requests that a runner serves concurrently
 */
public record ListedHost(
    String name,
    Role role,
    String zone,
    State state,
    String address,
    String rack,
    ResourceAmount capacity,
    String service,
    int slots) {
  /** Role of a host. */
  public enum Role {
    ENTRY,
    WORKER,
    RUNNER;

    @Override
    public String toString() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** State of a host in the platform's list. */
  public enum State {
    LIVE,
    LEAVING;

    @Override
    public String toString() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Validates. */
  public ListedHost {
    Names.require("host", name);
    Names.require("zone", zone);
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(address, "address");
  }

  /** Returns an entry host. */
  public static ListedHost entry(String name, String zone, String address) {
    return new ListedHost(name, Role.ENTRY, zone, State.LIVE, address, null, null, null, 0);
  }

  /** Returns a worker. */
  public static ListedHost worker(
      String name, String zone, String rack, String address, ResourceAmount capacity) {
    return new ListedHost(name, Role.WORKER, zone, State.LIVE, address, rack, capacity, null, 0);
  }

  /** Returns a runner. */
  public static ListedHost runner(
      String name, String zone, String service, String address, int slots) {
    return new ListedHost(name, Role.RUNNER, zone, State.LIVE, address, null, null, service, slots);
  }

  /** Returns a copy of this host in state {@link State#LEAVING}. */
  public ListedHost asLeaving() {
    return new ListedHost(name, role, zone, State.LEAVING, address, rack, capacity, service, slots);
  }

  /** Returns the worker that this entry describes. */
  public WorkerHost toWorkerHost() {
    return new WorkerHost(name, zone, rack, capacity);
  }

  /** Returns the runner that this entry describes. */
  public Runner toRunner() {
    return new Runner(name, service, zone, address, state == State.LEAVING, slots);
  }
}
