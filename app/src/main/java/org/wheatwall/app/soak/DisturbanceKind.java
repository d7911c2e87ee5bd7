package org.wheatwall.app.soak;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** The faults that a soak injects from outside the processes under test. */
enum DisturbanceKind {
  /** The store refuses every call. */
  STORE_BUSY(Scope.STORE),
  /** The store sends no responses. */
  STORE_SILENT(Scope.STORE),
  /** The store delays its responses. */
  STORE_SLOW(Scope.STORE),
  /** The store carries appends out, some of them late, and sends no response. */
  STORE_LOSES_ANSWERS(Scope.STORE),
  /** The store keeps only the newest record of each key. */
  STORE_HISTORY_DROPPED(Scope.STORE),
  /** Existing and new connections between a host and the store are reset. */
  LINK_RESET(Scope.HOST),
  /** Connections between a host and the store stay open, but transfer no data. */
  LINK_SILENT(Scope.HOST),
  /** Data from a host to the store is lost. */
  LINK_ONE_WAY_OUT(Scope.HOST),
  /** Data from the store to a host is lost. */
  LINK_ONE_WAY_IN(Scope.HOST),
  /** Data between a host and the store is delayed in both directions. */
  LINK_DELAYED(Scope.HOST),
  /** The process of a host is killed and restarted. */
  HOST_KILLED(Scope.HOST),
  /** The process of a host is paused and resumed. */
  HOST_PAUSED(Scope.HOST),
  /** The process of a host is shut down gracefully and restarted. */
  HOST_STOPPED(Scope.HOST),
  /** The process of a host is signalled to reload its settings. */
  HOST_RELOADED(Scope.HOST),
  /** The processes of all hosts are killed at once and restarted. */
  ALL_HOSTS_KILLED(Scope.ALL_HOSTS),
  /** Existing and new connections to a worker are reset. */
  WORKER_RESET(Scope.WORKER),
  /** Connections to a worker stay open, but transfer no data. */
  WORKER_SILENT(Scope.WORKER),
  /** Responses of a worker are lost; requests to it arrive. */
  WORKER_ANSWERS_LOST(Scope.WORKER),
  /** A worker crashes and another one starts at its address. */
  WORKER_CRASHED(Scope.WORKER),
  /** The tasks of a worker make no progress. */
  WORKER_STUCK(Scope.WORKER),
  /** The configuration changes several times in a row. */
  CONFIGURATION_CHANGED(Scope.CONFIGURATION),
  /** The capacity of a worker is reduced for some time, regardless of the tasks that run there. */
  WORKER_SHRUNK(Scope.WORKER),
  /** The machine of a host is suspended: its process and its monotonic clock stop. */
  HOST_SUSPENDED(Scope.HOST);

  // Drawn separately from all other kinds, so that adding a kind does not change the plan of a
  // seed.
  private static final Set<DisturbanceKind> BASE_KINDS =
      EnumSet.range(STORE_BUSY, CONFIGURATION_CHANGED);

  /** What a disturbance affects. */
  enum Scope {
    STORE,
    HOST,
    ALL_HOSTS,
    WORKER,
    CONFIGURATION
  }

  private final Scope scope;

  DisturbanceKind(Scope scope) {
    this.scope = scope;
  }

  /** Returns the kinds that every plan is drawn from. */
  static List<DisturbanceKind> baseKinds() {
    return List.copyOf(BASE_KINDS);
  }

  /** Returns the kinds that only hard plans contain. */
  static List<DisturbanceKind> hardKinds() {
    return List.copyOf(EnumSet.complementOf(EnumSet.copyOf(BASE_KINDS)));
  }

  Scope scope() {
    return scope;
  }
}
