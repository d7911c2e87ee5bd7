package org.wheatwall.core.configuration.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.configuration.model.Verdict;

/**
 * The configuration as determined by the log: a deterministic function of the records applied so
 * far.
 *
 * <p>A change is accepted only if it names the version in force, if its identifier was not seen
 * before, and if it was proposed at most {@link #REPEAT_WINDOW} offsets before it was appended. The
 * last condition allows old identifiers and tombstones to be discarded without a repeated old
 * change ever taking effect again: a repeat that could refer to a discarded tombstone is itself too
 * old.
 *
 * <p>Not thread-safe; the owner must confine it to one thread or synchronize access.
 */
public final class ConfigurationReplica {
  /**
   * Maximum number of offsets between the proposal of a change and its record; later changes are
   * refused as too old.
   */
  public static final long REPEAT_WINDOW = 4096;

  private final ChangeRule rule;
  private final Map<ResourceKind, TreeMap<String, StoredResource>> objects = new HashMap<>();
  private final Map<String, Verdict> recentVerdicts = new HashMap<>();
  private final Deque<SeenChange> seenInOrder = new ArrayDeque<>();
  private final Deque<StoredResource> tombstonesInOrder = new ArrayDeque<>();
  private long nextOffset;

  private record SeenChange(String changeId, long offset) {}

  /** Creates an empty replica that expects the record at offset 0. */
  public ConfigurationReplica(ChangeRule rule) {
    this.rule = rule;
    for (ResourceKind kind : ResourceKind.values()) {
      objects.put(kind, new TreeMap<>());
    }
  }

  /** Returns the offset of the first record not yet applied. */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Applies the changes of the record at {@code offset}. Records below {@link #nextOffset()} are
   * ignored, so a record may be delivered twice.
   */
  public List<Verdict> apply(long offset, List<Change> changes) {
    if (offset < nextOffset) {
      return List.of();
    }
    expireBefore(offset - REPEAT_WINDOW);
    List<Verdict> verdicts = new ArrayList<>(changes.size());
    for (Change change : changes) {
      verdicts.add(applyChange(offset, change));
    }
    nextOffset = offset + 1;
    return verdicts;
  }

  /** Skips the record at {@code offset}, which contains no change. */
  public void skip(long offset) {
    apply(offset, List.of());
  }

  /** Returns the object with this key, empty if it is absent or removed. */
  public Optional<StoredResource> get(ResourceKey key) {
    StoredResource stored = objects.get(key.kind()).get(key.name());
    return stored == null || stored.value().isEmpty() ? Optional.empty() : Optional.of(stored);
  }

  /** Returns the objects of one kind ordered by name, without tombstones. */
  public List<StoredResource> list(ResourceKind kind) {
    List<StoredResource> found = new ArrayList<>();
    for (StoredResource stored : objects.get(kind).values()) {
      if (stored.value().isPresent()) {
        found.add(stored);
      }
    }
    return found;
  }

  /** Returns the contents of one kind that are of type {@code type}. */
  public <T extends Resource> List<T> values(ResourceKind kind, Class<T> type) {
    List<T> found = new ArrayList<>();
    for (StoredResource stored : objects.get(kind).values()) {
      stored.value().filter(type::isInstance).map(type::cast).ifPresent(found::add);
    }
    return found;
  }

  /**
   * Returns the version that a change must name as its base: 0 for an object that was never stored.
   */
  public long baseVersion(ResourceKey key) {
    StoredResource stored = objects.get(key.kind()).get(key.name());
    return stored == null ? 0 : stored.version();
  }

  /** Returns the verdict on a recent change, empty if the change is unknown or too old. */
  public Optional<Verdict> verdict(String changeId) {
    return Optional.ofNullable(recentVerdicts.get(changeId));
  }

  /** Returns the state that another process needs to continue from {@link #nextOffset()}. */
  public Snapshot snapshot() {
    List<StoredResource> all = new ArrayList<>();
    for (ResourceKind kind : ResourceKind.values()) {
      all.addAll(objects.get(kind).values());
    }
    List<Snapshot.Recent> recent = new ArrayList<>(seenInOrder.size());
    for (SeenChange seen : seenInOrder) {
      recent.add(new Snapshot.Recent(seen.offset(), recentVerdicts.get(seen.changeId())));
    }
    return new Snapshot(nextOffset, all, recent);
  }

  /**
   * Replaces the state by {@code snapshot}. Throws a {@link Refusal} if it is older than this
   * replica.
   */
  public void restore(Snapshot snapshot) {
    if (snapshot.nextOffset() < nextOffset) {
      throw Refusal.invalid(
          "snapshot at offset " + snapshot.nextOffset() + " is older than " + nextOffset,
          "use a newer snapshot; configuration never goes back");
    }
    objects.values().forEach(Map::clear);
    recentVerdicts.clear();
    seenInOrder.clear();
    tombstonesInOrder.clear();
    List<StoredResource> tombstones = new ArrayList<>();
    for (StoredResource stored : snapshot.objects()) {
      objects.get(stored.key().kind()).put(stored.key().name(), stored);
      if (stored.value().isEmpty()) {
        tombstones.add(stored);
      }
    }
    tombstones.sort(java.util.Comparator.comparingLong(StoredResource::version));
    tombstonesInOrder.addAll(tombstones);
    for (Snapshot.Recent recent : snapshot.recent()) {
      recordVerdict(recent.offset(), recent.verdict());
    }
    nextOffset = snapshot.nextOffset();
  }

  /** Returns the number of objects and tombstones held. */
  public int size() {
    return objects.values().stream().mapToInt(Map::size).sum();
  }

  /** Returns the objects of one kind ordered by name, including tombstones. */
  Collection<StoredResource> withTombstones(ResourceKind kind) {
    return Collections.unmodifiableCollection(objects.get(kind).values());
  }

  private Verdict applyChange(long offset, Change change) {
    Verdict known = recentVerdicts.get(change.changeId());
    if (known != null) {
      return known;
    }
    Verdict verdict = evaluate(offset, change);
    if (verdict.accepted()) {
      store(new StoredResource(change.key(), verdict.version(), change.value()));
    }
    recordVerdict(offset, verdict);
    return verdict;
  }

  private Verdict evaluate(long offset, Change change) {
    long current = baseVersion(change.key());
    if (offset - change.asOf() > REPEAT_WINDOW) {
      return refused(
          change,
          Verdict.Decision.TOO_OLD,
          current,
          change.key() + ": change was proposed too long ago");
    }
    if (current != change.baseVersion()) {
      return refused(
          change,
          Verdict.Decision.STALE_VERSION,
          current,
          change.key() + " is at version " + current + ", not " + change.baseVersion());
    }
    Optional<String> objection = rule.objection(change, this);
    if (objection.isPresent()) {
      return refused(change, Verdict.Decision.GUARANTEE_CLASH, current, objection.get());
    }
    return new Verdict(change.changeId(), Verdict.Decision.ACCEPTED, offset + 1, "");
  }

  private static Verdict refused(
      Change change, Verdict.Decision decision, long version, String detail) {
    return new Verdict(change.changeId(), decision, version, detail);
  }

  private void store(StoredResource stored) {
    objects.get(stored.key().kind()).put(stored.key().name(), stored);
    if (stored.value().isEmpty()) {
      tombstonesInOrder.addLast(stored);
    }
  }

  private void recordVerdict(long offset, Verdict verdict) {
    recentVerdicts.put(verdict.changeId(), verdict);
    seenInOrder.addLast(new SeenChange(verdict.changeId(), offset));
  }

  private void expireBefore(long offset) {
    while (!seenInOrder.isEmpty() && seenInOrder.peekFirst().offset() < offset) {
      recentVerdicts.remove(seenInOrder.removeFirst().changeId());
    }
    while (!tombstonesInOrder.isEmpty() && tombstonesInOrder.peekFirst().version() <= offset) {
      StoredResource tombstone = tombstonesInOrder.removeFirst();
      TreeMap<String, StoredResource> ofKind = objects.get(tombstone.key().kind());
      // The object may have been created again since; a newer entry is not removed.
      ofKind.remove(tombstone.key().name(), tombstone);
    }
  }
}
