package org.wheatwall.core.configuration.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.core.job.model.Workspace;

/**
 * Replays logs with repeated and concurrent changes, removals and snapshots. Guards against
 * last-writer-wins, a repeated old change that takes effect after a newer one, and a removed object
 * that reappears.
 */
final class ConfigurationReplicaTest {
  private static final int HISTORIES = 200;
  private static final int RECORDS = 400;

  private static Change change(String id, String name, long base, long asOf, int quota) {
    return new Change(
        id,
        new ResourceKey(ResourceKind.WORKSPACES, name),
        base,
        asOf,
        quota < 0 ? Optional.empty() : Optional.of(new Workspace(Labels.NONE, quota, 1, 0)),
        Optional.empty());
  }

  private static ConfigurationReplica replica() {
    return new ConfigurationReplica((change, current) -> Optional.empty());
  }

  @Test
  void exactlyOneOfTwoRacingChangesIsAccepted() {
    ConfigurationReplica replica = replica();
    List<Verdict> verdicts =
        replica.apply(0, List.of(change("a", "w", 0, -1, 1), change("b", "w", 0, -1, 2)));
    assertThat(verdicts.get(0).accepted()).isTrue();
    assertThat(verdicts.get(1).decision()).isEqualTo(Verdict.Decision.STALE_VERSION);
  }

  @Test
  void repeatedCreationDoesNotBringBackARemovedObject() {
    ConfigurationReplica replica = replica();
    Change create = change("create", "w", 0, -1, 1);
    replica.apply(0, List.of(create));
    replica.apply(1, List.of(change("remove", "w", 1, 0, -1)));
    replica.apply(2, List.of(create));
    assertThat(replica.list(ResourceKind.WORKSPACES)).isEmpty();
    long lateOffset = ConfigurationReplica.REPEAT_WINDOW + 10;
    replica.skip(lateOffset);
    assertThat(replica.size()).isEqualTo(0);
    assertThat(replica.apply(lateOffset + 1, List.of(create)).get(0).decision())
        .isEqualTo(Verdict.Decision.TOO_OLD);
    assertThat(replica.list(ResourceKind.WORKSPACES)).isEmpty();
  }

  @Test
  void everyReplicaReachesTheSameStateWhereverItStartsFrom() {
    for (long seed = 1; seed <= HISTORIES; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      ConfigurationReplica continuous = replica();
      ReferenceReplica reference = new ReferenceReplica();
      List<Change> sent = new ArrayList<>();
      List<List<Change>> log = new ArrayList<>();
      Optional<Snapshot> snapshot = Optional.empty();
      for (int offset = 0; offset < RECORDS; offset++) {
        List<Change> record = randomRecord(random, continuous, sent, offset);
        log.add(record);
        List<Verdict> verdicts = continuous.apply(offset, record);
        assertWithMessage("seed " + seed).that(verdicts).isEqualTo(reference.apply(offset, record));
        if (random.nextInt(100) == 0) {
          snapshot = Optional.of(continuous.snapshot());
        }
      }
      ConfigurationReplica restored = replica();
      snapshot.ifPresent(restored::restore);
      for (int offset = (int) restored.nextOffset(); offset < RECORDS; offset++) {
        restored.apply(offset, log.get(offset));
      }
      assertWithMessage("seed " + seed).that(restored.snapshot()).isEqualTo(continuous.snapshot());
    }
  }

  private static List<Change> randomRecord(
      SplittableRandom random, ConfigurationReplica replica, List<Change> sent, int offset) {
    List<Change> record = new ArrayList<>();
    for (int i = 0; i <= random.nextInt(3); i++) {
      if (!sent.isEmpty() && random.nextInt(4) == 0) {
        record.add(sent.get(random.nextInt(sent.size())));
        continue;
      }
      String name = "w" + random.nextInt(5);
      long current = replica.baseVersion(new ResourceKey(ResourceKind.WORKSPACES, name));
      long base = random.nextInt(5) == 0 ? Math.max(0, current - 1) : current;
      int quota = random.nextInt(4) == 0 ? -1 : random.nextInt(100);
      Change fresh = change("c" + sent.size(), name, base, offset - 1L, quota);
      sent.add(fresh);
      record.add(fresh);
    }
    return record;
  }

  /** A simple reference implementation that never discards anything. */
  private static final class ReferenceReplica {
    private final Map<ResourceKey, StoredResource> objects = new HashMap<>();
    private final Map<String, Verdict> verdicts = new HashMap<>();

    private List<Verdict> apply(long offset, List<Change> changes) {
      List<Verdict> result = new ArrayList<>();
      for (Change change : changes) {
        result.add(verdicts.computeIfAbsent(change.changeId(), id -> judge(offset, change)));
      }
      return result;
    }

    private Verdict judge(long offset, Change change) {
      StoredResource stored = objects.get(change.key());
      long current = stored == null ? 0 : stored.version();
      if (current != change.baseVersion()) {
        String detail =
            change.key() + " is at version " + current + ", not " + change.baseVersion();
        return new Verdict(change.changeId(), Verdict.Decision.STALE_VERSION, current, detail);
      }
      objects.put(change.key(), new StoredResource(change.key(), offset + 1, change.value()));
      return new Verdict(change.changeId(), Verdict.Decision.ACCEPTED, offset + 1, "");
    }
  }
}
