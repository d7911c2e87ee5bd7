package org.wheatwall.entry.configuration;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.configuration.decision.ConfigurationReplica;
import org.wheatwall.core.configuration.decision.SnapshotAssembler;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.core.job.decision.GuaranteeRule;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.platform.LogService;
import org.wheatwall.wire.json.LogRecord;
import org.wheatwall.wire.json.LogRecordCodec;
import org.wheatwall.wire.platform.LogPage;

/**
 * Follows the configuration stream of the log, publishes changes, and writes snapshots ahead of the
 * log's retention. All state is confined to the state thread.
 */
public final class ConfigurationService {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationService.class);
  private static final long READ_WAIT_MS = 1000;
  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 1000;
  private static final int SNAPSHOT_SHARE_OF_RETENTION = 3;

  private final LogService log;
  private final Clock clock;
  private final ScheduledExecutorService stateThread;
  private final ConfigurationReplica replica = new ConfigurationReplica(new GuaranteeRule());
  private final ChangePublisher publisher;
  private final SnapshotTimer snapshotTimer;
  private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
  private final Histogram inForceDelayMs;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private final PageLimit pageLimit = new PageLimit();
  private CatchUp catchUp;
  private long backoffMs = MIN_BACKOFF_MS;
  private long malformedRecords;
  private volatile long lastHeadMs = Long.MIN_VALUE / 2;
  private long firstHeadMs = Long.MAX_VALUE;
  private volatile long nextOffset;
  private volatile boolean stopped;

  /**
   * Creates a service.
   *
   * @param retentionMs time for which the log retains records, milliseconds
   */
  public ConfigurationService(
      LogService log,
      Clock clock,
      ScheduledExecutorService stateThread,
      long retentionMs,
      MetricRegistry metrics) {
    this.log = log;
    this.clock = clock;
    this.stateThread = stateThread;
    this.publisher = new ChangePublisher(log, clock, stateThread);
    this.snapshotTimer = new SnapshotTimer(retentionMs / SNAPSHOT_SHARE_OF_RETENTION);
    this.inForceDelayMs = metrics.histogram("configuration.in-force-ms");
    metrics.gauge("configuration.next-offset", () -> () -> nextOffset);
    metrics.gauge("configuration.appends", () -> publisher::appendCount);
    metrics.gauge("configuration.pending-changes", () -> publisher::pendingCount);
  }

  /** Adds a listener; call before {@link #start}. */
  public void addListener(ConfigurationListener listener) {
    listeners.add(listener);
  }

  /** Starts following the log. */
  public void start() {
    stateThread.execute(this::readNextPage);
    stateThread.scheduleWithFixedDelay(this::writeSnapshotIfDue, 1000, 500, TimeUnit.MILLISECONDS);
  }

  /** Stops following the log. */
  public void stop() {
    stopped = true;
  }

  /** Returns a future that completes once a configuration is in effect on this host. */
  public CompletableFuture<Void> ready() {
    return ready;
  }

  /** Returns the offset up to which this host has replayed the log. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the time in milliseconds since this host last reached the end of the log. */
  public long sinceHeadMs() {
    return clock.leaseTimeMs() - lastHeadMs;
  }

  /** Reads from the replica on the state thread. */
  public <T> CompletableFuture<T> query(Function<ConfigurationReplica, T> function) {
    return CompletableFuture.supplyAsync(() -> function.apply(replica), stateThread);
  }

  /** Returns the replica; only for use on the state thread. */
  public ConfigurationReplica replicaOnStateThread() {
    return replica;
  }

  /** Publishes a change; the future completes with the verdict once it is read back. */
  public CompletableFuture<Verdict> publish(Draft draft) {
    return CompletableFuture.supplyAsync(
            () -> publisher.publish(draft, replica.nextOffset() - 1), stateThread)
        .thenCompose(verdict -> verdict);
  }

  /** Returns a snapshot if this host has replayed the log beyond {@code offset}. */
  public CompletableFuture<Optional<Snapshot>> snapshotNewerThan(long offset) {
    return query(
        current ->
            current.nextOffset() > offset && ready.isDone()
                ? Optional.of(current.snapshot())
                : Optional.empty());
  }

  /** Restores the snapshot of a peer if it is newer and the log cannot be read. */
  public void offerSnapshot(Snapshot snapshot) {
    stateThread.execute(
        () -> {
          boolean logAvailable = sinceHeadMs() < READ_WAIT_MS;
          if (snapshot.nextOffset() > replica.nextOffset() && !logAvailable) {
            restore(snapshot);
            catchUp = null;
          }
        });
  }

  private void readNextPage() {
    if (stopped) {
      return;
    }
    long from = catchUp == null ? replica.nextOffset() : catchUp.position();
    long sentMs = clock.nowMs();
    log.read(from, pageLimit.records(), READ_WAIT_MS)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure == null) {
                pageLimit.onPage(page.records().size(), clock.nowMs() - sentMs);
                onPage(from, page);
              } else {
                pageLimit.onFailure();
                backOff();
              }
            },
            stateThread);
  }

  private void backOff() {
    long delayMs = backoffMs / 2 + ThreadLocalRandom.current().nextLong(backoffMs);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    stateThread.schedule(this::readNextPage, delayMs, TimeUnit.MILLISECONDS);
  }

  private void onPage(long from, LogPage page) {
    backoffMs = MIN_BACKOFF_MS;
    long expected = catchUp == null ? replica.nextOffset() : catchUp.position();
    if (from != expected) {
      // A peer's snapshot was restored while the read was in flight.
      readNextPage();
      return;
    }
    if (page.first() > from || page.next() < from) {
      LOG.info("event=log-gap position={} first={} next={}", from, page.first(), page.next());
      catchUp = new CatchUp(page.first(), replica.nextOffset());
      readNextPage();
      return;
    }
    for (LogPage.Entry entry : page.records()) {
      onRecord(entry);
    }
    long position = catchUp == null ? replica.nextOffset() : catchUp.position();
    if (position >= page.next() && catchUp == null) {
      lastHeadMs = clock.leaseTimeMs();
      firstHeadMs = Math.min(firstHeadMs, clock.nowMs());
      ready.complete(null);
    }
    boolean idleCatchUp = catchUp != null && page.records().isEmpty();
    if (idleCatchUp) {
      backOff();
    } else {
      readNextPage();
    }
  }

  private void onRecord(LogPage.Entry entry) {
    LogRecord record = readRecord(entry);
    if (catchUp != null) {
      catchUp.add(entry.offset(), record).ifPresent(this::startReplay);
      return;
    }
    if (record.chunk().isPresent()) {
      replica.skip(entry.offset());
      snapshotTimer.onChunk(record.chunk().get(), clock.nowMs() - entry.ageMs());
    } else {
      applyChanges(entry.offset(), record.changes());
      // Records appended before this host followed the log do not measure its delay.
      if (clock.nowMs() - entry.ageMs() >= firstHeadMs) {
        inForceDelayMs.update(entry.ageMs());
      }
    }
    nextOffset = replica.nextOffset();
  }

  // Every host skips a malformed record alike, so it harms only its writer.
  private LogRecord readRecord(LogPage.Entry entry) {
    try {
      return LogRecordCodec.read(entry.data().getBytes(java.nio.charset.StandardCharsets.UTF_8));
    } catch (Refusal refusal) {
      malformedRecords++;
      LOG.warn(
          "event=malformed-record offset={} count={} detail={}",
          entry.offset(),
          malformedRecords,
          refusal.getMessage());
      return LogRecord.ofChanges(List.of());
    }
  }

  private void startReplay(CatchUp.Start start) {
    long position = catchUp.position();
    catchUp = null;
    restore(start.snapshot());
    for (CatchUp.BufferedChanges buffered : start.tail()) {
      applyChanges(buffered.offset(), buffered.changes());
    }
    if (position > replica.nextOffset()) {
      replica.skip(position - 1);
    }
    nextOffset = replica.nextOffset();
  }

  private void restore(Snapshot snapshot) {
    Set<ResourceKey> removed = new HashSet<>();
    replica.snapshot().objects().forEach(stored -> removed.add(stored.key()));
    replica.restore(snapshot);
    nextOffset = replica.nextOffset();
    List<StoredResource> changed = new ArrayList<>(snapshot.objects());
    snapshot.objects().forEach(stored -> removed.remove(stored.key()));
    removed.forEach(
        key -> changed.add(new StoredResource(key, snapshot.nextOffset(), Optional.empty())));
    snapshot.recent().forEach(recent -> publisher.onVerdict(recent.verdict()));
    LOG.info("event=snapshot-restored nextOffset={} objects={}", nextOffset, replica.size());
    notifyListeners(changed);
    ready.complete(null);
  }

  private void applyChanges(long offset, List<Change> changes) {
    List<Verdict> verdicts = replica.apply(offset, changes);
    List<StoredResource> changed = new ArrayList<>();
    for (int i = 0; i < verdicts.size(); i++) {
      if (verdicts.get(i).version() == offset + 1 && verdicts.get(i).accepted()) {
        Change change = changes.get(i);
        changed.add(new StoredResource(change.key(), offset + 1, change.value()));
      }
    }
    notifyListeners(changed);
    verdicts.forEach(publisher::onVerdict);
  }

  private void notifyListeners(Collection<StoredResource> changed) {
    if (!changed.isEmpty()) {
      listeners.forEach(listener -> listener.onConfigurationChanged(changed));
    }
  }

  private void writeSnapshotIfDue() {
    boolean atHead = catchUp == null && sinceHeadMs() < 2 * READ_WAIT_MS;
    boolean empty = replica.size() == 0 && replica.nextOffset() == 0;
    if (!atHead || empty || !snapshotTimer.isDue(clock.nowMs())) {
      return;
    }
    String id = java.util.UUID.randomUUID().toString();
    List<byte[]> chunks = new ArrayList<>();
    SnapshotAssembler.split(id, replica.snapshot())
        .forEach(chunk -> chunks.add(LogRecordCodec.write(LogRecord.ofChunk(chunk))));
    LOG.info("event=snapshot-written nextOffset={} chunks={}", replica.nextOffset(), chunks.size());
    publisher.appendSnapshot(chunks);
  }

  /** Returns whether this host waits for a snapshot because the log lacks records that it needs. */
  public CompletableFuture<Boolean> waitsForSnapshot() {
    return CompletableFuture.supplyAsync(() -> catchUp != null || !ready.isDone(), stateThread);
  }
}
