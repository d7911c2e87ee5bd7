package org.wheatwall.app.soak;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** What a soak does to the cluster from outside of the processes under test. */
enum DisturbanceKind {
  /** The store refuses every call. */
  STORE_BUSY(Scope.STORE),
  /** The store answers nothing. */
  STORE_SILENT(Scope.STORE),
  /** The store answers late. */
  STORE_SLOW(Scope.STORE),
  /** Appends are carried out, some of them late, and not answered. */
  STORE_LOSES_ANSWERS(Scope.STORE),
  /** The store keeps only the newest record of each key. */
  STORE_HISTORY_DROPPED(Scope.STORE),
  /** Connections between a host and the store are reset, new ones too. */
  LINK_RESET(Scope.HOST),
  /** Connections between a host and the store stay open and carry nothing. */
  LINK_SILENT(Scope.HOST),
  /** What a host sends to the store is lost. */
  LINK_ONE_WAY_OUT(Scope.HOST),
  /** What the store sends to a host is lost. */
  LINK_ONE_WAY_IN(Scope.HOST),
  /** What passes between a host and the store is delayed. */
  LINK_DELAYED(Scope.HOST),
  /** The process of a host is killed and started again. */
  HOST_KILLED(Scope.HOST),
  /** The process of a host stands still and goes on. */
  HOST_PAUSED(Scope.HOST),
  /** The process of a host is asked to stop, and started again. */
  HOST_STOPPED(Scope.HOST),
  /** The process of a host is told that its settings have changed. */
  HOST_RELOADED(Scope.HOST),
  /** Every process is killed at once. */
  ALL_HOSTS_KILLED(Scope.ALL_HOSTS),
  /** Connections to a worker are reset, new ones too. */
  WORKER_RESET(Scope.WORKER),
  /** Connections to a worker stay open and carry nothing. */
  WORKER_SILENT(Scope.WORKER),
  /** Answers of a worker are lost; what it is told arrives. */
  WORKER_ANSWERS_LOST(Scope.WORKER),
  /** A worker crashes; another one comes at its address. */
  WORKER_CRASHED(Scope.WORKER),
  /** The tasks of a worker stand still. */
  WORKER_STUCK(Scope.WORKER),
  /** The configuration changes several times in a row. */
  CONFIGURATION_CHANGED(Scope.CONFIGURATION),
  /** A worker has less room for some time, whatever runs there. */
  WORKER_SHRUNK(Scope.WORKER),
  /** The machine of a host is suspended: its process stands still, and its steady clock with it. */
  HOST_SUSPENDED(Scope.HOST);

  // Seeds draw from these, and from all others on their own, so that a seed stays what it was.
  private static final Set<DisturbanceKind> BASE_KINDS =
      EnumSet.range(STORE_BUSY, CONFIGURATION_CHANGED);

  /** What a disturbance strikes. */
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

  /** Returns the kinds that plans were first drawn from. */
  static List<DisturbanceKind> baseKinds() {
    return List.copyOf(BASE_KINDS);
  }

  /** Returns the kinds that came later. */
  static List<DisturbanceKind> hardKinds() {
    return List.copyOf(EnumSet.complementOf(EnumSet.copyOf(BASE_KINDS)));
  }

  Scope scope() {
    return scope;
  }
}
