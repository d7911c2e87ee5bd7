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
 * @param zones every availability zone that shares the step keys, this one included; must be the
 *     same on every entry host
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
  private static final int MAX_MS = 86_400_000;

  /**
   * Addresses on which the entry host listens.
   *
   * @param shown address under which other entry hosts reach {@code peer}, if it is another one
   */
  public record Listen(InetSocketAddress http, InetSocketAddress peer, InetSocketAddress shown) {}

  /**
   * Where the platform's services are.
   *
   * @param retentionMs how long the log keeps a record
   * @param listPollMs how often the list of hosts is read
   */
  public record Platform(
      InetSocketAddress log, InetSocketAddress list, int retentionMs, int listPollMs) {}

  /**
   * Tokens of operators by role; with no token at all, operators' calls need none.
   *
   * @param workspaces tokens of each workspace, which let in to that workspace's jobs only
   */
  public record Tokens(
      List<String> read,
      List<String> write,
      List<String> administer,
      Map<String, List<String>> workspaces) {
    /** Copies the tokens of workspaces. */
    public Tokens {
      workspaces = Map.copyOf(workspaces);
    }

    /** Returns whether calls need a token. */
    public boolean required() {
      return !read.isEmpty() || !write.isEmpty() || !administer.isEmpty() || !workspaces.isEmpty();
    }
  }

  /**
   * Bounds of the request plane.
   *
   * @param maxBodyBytes largest request or answer body
   * @param defaultDeadlineMs deadline of a request that names none
   * @param maxDeadlineMs longest deadline
   * @param keepAnswersMs how long the answer of a step is kept
   */
  public record Requests(
      int maxBodyBytes, int defaultDeadlineMs, int maxDeadlineMs, int keepAnswersMs) {}

  /**
   * Bounds of the job plane.
   *
   * @param starvationBoundMs waiting time after which a job may reclaim what overtook it
   * @param keepFinishedMs how long a finished job stays in the configuration
   * @param workerMessagesPerSecond most heartbeats to workers a second from one decider
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
    boolean another = section.keys().contains("shown");
    return new Listen(section.address("http"), peer, another ? section.address("shown") : peer);
  }

  private static Platform platform(SettingsSection section) {
    return new Platform(
        section.address("log"),
        section.address("list"),
        section.integer("retentionMs", 1000, Integer.MAX_VALUE, MAX_MS),
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
        section.integer("keepAnswersMs", 1000, MAX_MS, 600_000));
  }

  private static Jobs jobs(SettingsSection section) {
    return new Jobs(
        section.integer("starvationBoundMs", 100, Integer.MAX_VALUE, 600_000),
        section.integer("keepFinishedMs", 1000, Integer.MAX_VALUE, 3_600_000),
        section.integer("workerMessagesPerSecond", 1, 10_000, 200));
  }
}
