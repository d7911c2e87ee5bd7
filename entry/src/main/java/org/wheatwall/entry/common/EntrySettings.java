package org.wheatwall.entry.common;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.wheatwall.core.common.Names;
import org.wheatwall.wire.settings.SettingsSection;

/**
 * Settings of an entry host.
 *
 * @param host name of this host in the platform's list
 * @param zone availability zone of this host
 * @param zones all availability zones that share the step keys, including this one; must be the
 *     same on all entry hosts
 */
public record EntrySettings(
    String host,
    String zone,
    List<String> zones,
    Listen listen,
    Platform platform,
    String peerKey,
    Tokens tokens,
    Requests requests,
    Jobs jobs) {
  private static final int DAY_MS = 86_400_000;

  /**
   * Addresses on which the entry host listens.
   *
   * @param advertised address at which other entry hosts reach {@code peer}, if it differs
   */
  public record Listen(
      InetSocketAddress http, InetSocketAddress peer, InetSocketAddress advertised) {}

  /**
   * Addresses of the platform's services.
   *
   * @param retentionMs how long the log retains a record
   * @param listPollMs how often the list of hosts is read
   */
  public record Platform(
      InetSocketAddress log, InetSocketAddress list, int retentionMs, int listPollMs) {}

  /**
   * Tokens of operators by role. If no token is set, calls of operators need none.
   *
   * @param workspaces tokens by workspace, which permit access to the jobs of that workspace only
   */
  public record Tokens(
      List<String> read,
      List<String> write,
      List<String> administer,
      Map<String, List<String>> workspaces) {
    /** Copies the tokens by workspace. */
    public Tokens {
      workspaces = Map.copyOf(workspaces);
    }

    /** Returns whether calls need a token. */
    public boolean required() {
      return !read.isEmpty() || !write.isEmpty() || !administer.isEmpty() || !workspaces.isEmpty();
    }
  }

  /**
   * Limits of the request plane.
   *
   * @param maxBodyBytes maximum size of a request or response body
   * @param defaultDeadlineMs deadline of a request that gives none
   * @param maxDeadlineMs maximum deadline of a request
   * @param keepAnswersMs how long the response of a step is retained
   */
  public record Requests(
      int maxBodyBytes, int defaultDeadlineMs, int maxDeadlineMs, int keepAnswersMs) {}

  /**
   * Limits of the job plane.
   *
   * @param starvationBoundMs waiting time after which a job may reclaim the resources of jobs that
   *     overtook it
   * @param keepFinishedMs how long a finished job stays in the configuration
   * @param workerMessagesPerSecond maximum number of heartbeats to workers per second from one
   *     decider
   */
  public record Jobs(int starvationBoundMs, int keepFinishedMs, int workerMessagesPerSecond) {}

  /** Reads the settings of an entry host. */
  public static EntrySettings read(SettingsSection root) {
    String zone = root.name("zone");
    List<String> zones = root.texts("zones");
    if (zones.isEmpty()) {
      zones = List.of(zone);
    }
    if (!zones.contains(zone)) {
      root.addFault(
          "zones", "does not contain this host's zone " + zone, "add the zone to the list");
    }
    zones.forEach(name -> checkZone(root, name));
    return new EntrySettings(
        root.name("host"),
        zone,
        List.copyOf(zones),
        listen(root.section("listen")),
        platform(root.section("platform")),
        root.text("peerKey", ""),
        tokens(root.section("tokens")),
        requests(root.section("requests")),
        jobs(root.section("jobs")));
  }

  private static void checkZone(SettingsSection root, String name) {
    try {
      Names.require("zone", name);
    } catch (org.wheatwall.core.common.Refusal refusal) {
      root.addFault("zones", refusal.detail(), refusal.remedy());
    }
  }

  private static Listen listen(SettingsSection section) {
    InetSocketAddress peer = section.address("peer");
    boolean hasAdvertised = section.keys().contains("shown");
    return new Listen(
        section.address("http"), peer, hasAdvertised ? section.address("shown") : peer);
  }

  private static Platform platform(SettingsSection section) {
    return new Platform(
        section.address("log"),
        section.address("list"),
        section.integer("retentionMs", 1000, Integer.MAX_VALUE, DAY_MS),
        section.integer("listPollMs", 10, 60_000, 500));
  }

  private static Tokens tokens(SettingsSection section) {
    return new Tokens(
        List.copyOf(section.texts("read")),
        List.copyOf(section.texts("write")),
        List.copyOf(section.texts("administer")),
        workspaceTokens(section.section("workspaces")));
  }

  private static Map<String, List<String>> workspaceTokens(SettingsSection section) {
    Map<String, List<String>> tokens = new TreeMap<>();
    for (String workspace : Set.copyOf(section.keys())) {
      tokens.put(workspace, List.copyOf(section.texts(workspace)));
    }
    return tokens;
  }

  private static Requests requests(SettingsSection section) {
    return new Requests(
        section.integer("maxBodyBytes", 1024, 16 * 1024 * 1024, 256 * 1024),
        section.integer("defaultDeadlineMs", 10, 600_000, 10_000),
        section.integer("maxDeadlineMs", 10, 600_000, 30_000),
        section.integer("keepAnswersMs", 1000, DAY_MS, 600_000));
  }

  private static Jobs jobs(SettingsSection section) {
    return new Jobs(
        section.integer("starvationBoundMs", 100, Integer.MAX_VALUE, 600_000),
        section.integer("keepFinishedMs", 1000, Integer.MAX_VALUE, 3_600_000),
        section.integer("workerMessagesPerSecond", 1, 10_000, 200));
  }
}
