package org.wheatwall.standin.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;

/**
 * Stand-in for the platform's store, implemented from its documentation: logs with offsets, the
 * newest record of each key, conditional appends, producers with epochs and sequence numbers. It
 * can be unavailable or slow, lose responses, and drop its history.
 */
public final class StoreStandIn implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int PAGE_SIZE = 500;

  private final Map<String, Topic> topics = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private final EventLoopGroup group;
  private final HttpServer server;
  private final ReadBudget readBudget = new ReadBudget();
  private volatile StoreFaults faults = StoreFaults.NONE;

  private StoreStandIn(EventLoopGroup group, InetSocketAddress address) {
    this.group = group;
    this.server = HttpServer.start(group, address, MAX_BODY_BYTES, this::handle);
  }

  /** Starts the stand-in. */
  public static StoreStandIn start(EventLoopGroup group, InetSocketAddress address) {
    return new StoreStandIn(group, address);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  /** Sets the faults of later calls. */
  public void setFaults(StoreFaults next) {
    faults = next;
  }

  /** Sets the data rate that all reads share, bytes a second; 0 for no limit. */
  public void setReadBytesPerSecond(long rate) {
    readBudget.setBytesPerSecond(rate);
  }

  /** Drops the history of all topics; the newest record of each key remains. */
  public synchronized void dropHistory() {
    topics.values().forEach(Topic::dropHistory);
  }

  /** Appends a record as the operator or a worker does; an empty value removes the key. */
  public synchronized void put(String topic, String key, byte[] value) {
    topic(topic).append(List.of(new StoredRecord(key, value)));
  }

  @Override
  public void close() {
    server.close();
  }

  private record StoredRecord(String key, byte[] value) {}

  private record PendingRead(long from, CompletableFuture<HttpReply> response) {}

  /** Latest epoch of a producer and its recent appends in that epoch. */
  private static final class Producer {
    private static final int MAX_RETAINED_OFFSETS = 5;

    private long epoch = -1;
    private long lastSequence;
    private final Map<Long, Long> offsetBySequence =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_RETAINED_OFFSETS;
          }
        };

    private void recordAppend(long appendEpoch, long sequence, long offset) {
      if (appendEpoch > epoch) {
        offsetBySequence.clear();
      }
      epoch = appendEpoch;
      lastSequence = sequence;
      offsetBySequence.put(sequence, offset);
    }
  }

  private static final class Topic {
    private final List<StoredRecord> records = new ArrayList<>();
    private final TreeMap<String, Long> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private long first;

    private long append(List<StoredRecord> added) {
      long offset = records.size();
      for (StoredRecord record : added) {
        if (record.value().length == 0) {
          newest.remove(record.key());
        } else {
          newest.put(record.key(), (long) records.size());
        }
        records.add(record);
      }
      List<PendingRead> completed = List.copyOf(pendingReads);
      pendingReads.clear();
      completed.forEach(read -> read.response().complete(page(read.from())));
      return offset;
    }

    private void dropHistory() {
      first = records.size();
    }

    private HttpReply page(long from) {
      if (from < first) {
        return json(410, "{\"first\":" + first + "}");
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      try {
        out.writeLong(records.size());
        out.writeLong(first);
        for (StoredRecord record : records.subList((int) from, records.size())) {
          byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
          out.writeInt(1 + key.length + record.value().length);
          out.writeByte(key.length);
          out.write(key);
          out.write(record.value());
        }
      } catch (IOException e) {
        throw new IllegalStateException("writing to an in-memory stream failed", e);
      }
      return new HttpReply(200, new DefaultHttpHeaders(), bytes.toByteArray());
    }
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    StoreFaults current = faults;
    CompletableFuture<HttpReply> noResponse = new CompletableFuture<>();
    switch (current.mode()) {
      case BUSY -> {
        return CompletableFuture.completedFuture(HttpReply.empty(503));
      }
      case SILENT -> {
        return noResponse;
      }
      default -> {
        // Handled below.
      }
    }
    CompletableFuture<HttpReply> response = new CompletableFuture<>();
    Runnable work =
        () ->
            serve(call)
                .thenAccept(
                    reply -> afterDelay(current.delayMs(), () -> respond(call, reply, response)));
    boolean append = isAppend(call);
    if (append && draw() < current.lossProbability()) {
      afterDelay(current.unansweredAppendDelayMs(), () -> serve(call));
      return noResponse;
    }
    afterDelay(current.delayMs(), work);
    return response;
  }

  private static boolean isAppend(HttpCall call) {
    return call.path().equals("/v1/log-append");
  }

  private void respond(HttpCall call, HttpReply reply, CompletableFuture<HttpReply> response) {
    OptionalLong waitMs =
        isAppend(call) ? OptionalLong.of(0) : readBudget.reserve(reply.body().length);
    if (waitMs.isEmpty()) {
      response.complete(json(503, "{\"error\":\"try later\"}"));
    } else {
      afterDelay((int) waitMs.getAsLong(), () -> response.complete(reply));
    }
  }

  private synchronized double draw() {
    return random.nextDouble();
  }

  private void afterDelay(int delayMs, Runnable task) {
    if (delayMs == 0) {
      task.run();
    } else {
      group.next().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized CompletableFuture<HttpReply> serve(HttpCall call) {
    Topic topic = topic(call.query("topic").orElse(""));
    return switch (call.path()) {
      case "/v1/log-append" -> CompletableFuture.completedFuture(append(topic, call));
      case "/v1/log-read" -> read(topic, call);
      case "/v1/log-newest" -> CompletableFuture.completedFuture(newest(topic, call));
      default -> CompletableFuture.completedFuture(HttpReply.empty(404));
    };
  }

  private static HttpReply append(Topic topic, HttpCall call) {
    Producer producer =
        topic.producers.computeIfAbsent(call.query("producer").orElse(""), key -> new Producer());
    long epoch = number(call, "epoch");
    long sequence = number(call, "seq");
    if (epoch < producer.epoch) {
      return json(409, "{\"reason\":\"fenced\"}");
    }
    boolean sameEpoch = epoch == producer.epoch;
    Long previousOffset = sameEpoch ? producer.offsetBySequence.get(sequence) : null;
    if (previousOffset != null) {
      return json(200, "{\"offset\":" + previousOffset + "}");
    }
    if (sameEpoch && sequence != producer.lastSequence + 1) {
      return json(409, "{\"reason\":\"seq\",\"seq\":" + (producer.lastSequence + 1) + "}");
    }
    Optional<String> at = call.query("at");
    if (at.isPresent() && Long.parseLong(at.get()) != topic.records.size()) {
      return json(412, "{\"end\":" + topic.records.size() + "}");
    }
    long offset = topic.append(records(call.body()));
    producer.recordAppend(epoch, sequence, offset);
    return json(200, "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}");
  }

  private CompletableFuture<HttpReply> read(Topic topic, HttpCall call) {
    long from = number(call, "from_rev");
    long waitMs = number(call, "wait_ms");
    if (from < topic.records.size() || waitMs == 0) {
      return CompletableFuture.completedFuture(topic.page(from));
    }
    PendingRead read = new PendingRead(from, new CompletableFuture<>());
    topic.pendingReads.add(read);
    group.next().schedule(() -> onWaitTimeout(topic, read), waitMs, TimeUnit.MILLISECONDS);
    return read.response();
  }

  private synchronized void onWaitTimeout(Topic topic, PendingRead read) {
    if (topic.pendingReads.remove(read)) {
      read.response().complete(topic.page(read.from()));
    }
  }

  private static HttpReply newest(Topic topic, HttpCall call) {
    String after = call.query("after_rev").orElse("");
    ObjectNode body = Json.mapper().createObjectNode();
    ArrayNode items = body.putArray("items");
    boolean more = false;
    for (Map.Entry<String, Long> entry : topic.newest.tailMap(after, after.isEmpty()).entrySet()) {
      if (items.size() == PAGE_SIZE) {
        more = true;
        break;
      }
      byte[] value = topic.records.get(entry.getValue().intValue()).value();
      items
          .addObject()
          .put("key", entry.getKey())
          .put("value", Base64.getEncoder().encodeToString(value))
          .put("offset", entry.getValue());
    }
    body.put("more", more).put("end", topic.records.size());
    return HttpReply.json(200, Json.bytes(body));
  }

  private static List<StoredRecord> records(byte[] body) {
    ByteBuffer bytes = ByteBuffer.wrap(body);
    List<StoredRecord> records = new ArrayList<>();
    while (bytes.hasRemaining()) {
      int length = bytes.getInt();
      byte[] key = new byte[Byte.toUnsignedInt(bytes.get())];
      bytes.get(key);
      byte[] value = new byte[length - 1 - key.length];
      bytes.get(value);
      records.add(new StoredRecord(new String(key, StandardCharsets.UTF_8), value));
    }
    return records;
  }

  private static long number(HttpCall call, String name) {
    return call.query(name).map(Long::parseLong).orElse(0L);
  }

  private static HttpReply json(int status, String text) {
    return HttpReply.json(status, text.getBytes(StandardCharsets.UTF_8));
  }
}
