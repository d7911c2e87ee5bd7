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
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;

/**
 * Stand-in for the platform's store, written from its pages: logs with offsets, the newest record
 * of each key, conditions, producers with epochs and numbers. It can be down, slow, lose answers,
 * and drop its history.
 */
public final class StoreStandIn implements AutoCloseable {
  private static final int MAX_BODY = 4 * 1024 * 1024;
  private static final int PAGE = 500;

  private final Map<String, Topic> topics = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private final EventLoopGroup group;
  private final HttpServer server;
  private volatile StoreFaults faults = StoreFaults.NONE;

  private StoreStandIn(EventLoopGroup group, InetSocketAddress address) {
    this.group = group;
    this.server = HttpServer.start(group, address, MAX_BODY, this::handle);
  }

  /** Starts the stand-in. */
  public static StoreStandIn start(EventLoopGroup group, InetSocketAddress address) {
    return new StoreStandIn(group, address);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  /** Sets how the store misbehaves from now on. */
  public void setFaults(StoreFaults next) {
    faults = next;
  }

  /** Drops the history of all topics; the newest record of each key stays. */
  public synchronized void dropHistory() {
    topics.values().forEach(Topic::dropHistory);
  }

  /** Writes a record as the operator or a worker does; an empty value drops the key. */
  public synchronized void put(String topic, String key, byte[] value) {
    topic(topic).append(List.of(new Stored(key, value)));
  }

  @Override
  public void close() {
    server.close();
  }

  private record Stored(String key, byte[] value) {}

  private record Waiter(long from, CompletableFuture<HttpReply> answer) {}

  /** What one producer has appended in its latest epoch. */
  private static final class Producer {
    private static final int ANSWERS_KEPT = 5;

    private long epoch = -1;
    private long last;
    private final Map<Long, Long> answers =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > ANSWERS_KEPT;
          }
        };

    private void answered(long ofEpoch, long sequence, long offset) {
      if (ofEpoch > epoch) {
        answers.clear();
      }
      epoch = ofEpoch;
      last = sequence;
      answers.put(sequence, offset);
    }
  }

  private static final class Topic {
    private final List<Stored> records = new ArrayList<>();
    private final TreeMap<String, Long> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long first;

    private long append(List<Stored> added) {
      long offset = records.size();
      for (Stored record : added) {
        if (record.value().length == 0) {
          newest.remove(record.key());
        } else {
          newest.put(record.key(), (long) records.size());
        }
        records.add(record);
      }
      List<Waiter> woken = List.copyOf(waiters);
      waiters.clear();
      woken.forEach(waiter -> waiter.answer().complete(page(waiter.from())));
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
        for (Stored record : records.subList((int) from, records.size())) {
          byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
          out.writeInt(1 + key.length + record.value().length);
          out.writeByte(key.length);
          out.write(key);
          out.write(record.value());
        }
      } catch (IOException e) {
        throw new IllegalStateException("memory cannot fail to be written", e);
      }
      return new HttpReply(200, new DefaultHttpHeaders(), bytes.toByteArray());
    }
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    StoreFaults now = faults;
    CompletableFuture<HttpReply> never = new CompletableFuture<>();
    switch (now.mode()) {
      case BUSY -> {
        return CompletableFuture.completedFuture(HttpReply.empty(503));
      }
      case SILENT -> {
        return never;
      }
      default -> {
        // Served below.
      }
    }
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    Runnable work =
        () ->
            serve(call)
                .thenAccept(reply -> afterDelay(now.delayMs(), () -> answer.complete(reply)));
    boolean append = call.path().equals("/v1/log-append");
    if (append && draw() < now.lossProbability()) {
      afterDelay(now.unansweredAppendDelayMs(), () -> serve(call));
      return never;
    }
    afterDelay(now.delayMs(), work);
    return answer;
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
    Long repeated = sameEpoch ? producer.answers.get(sequence) : null;
    if (repeated != null) {
      return json(200, "{\"offset\":" + repeated + "}");
    }
    if (sameEpoch && sequence != producer.last + 1) {
      return json(409, "{\"reason\":\"seq\",\"seq\":" + (producer.last + 1) + "}");
    }
    Optional<String> at = call.query("at");
    if (at.isPresent() && Long.parseLong(at.get()) != topic.records.size()) {
      return json(412, "{\"end\":" + topic.records.size() + "}");
    }
    long offset = topic.append(records(call.body()));
    producer.answered(epoch, sequence, offset);
    return json(200, "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}");
  }

  private CompletableFuture<HttpReply> read(Topic topic, HttpCall call) {
    long from = number(call, "from_rev");
    long waitMs = number(call, "wait_ms");
    if (from < topic.records.size() || waitMs == 0) {
      return CompletableFuture.completedFuture(topic.page(from));
    }
    Waiter waiter = new Waiter(from, new CompletableFuture<>());
    topic.waiters.add(waiter);
    group.next().schedule(() -> giveUp(topic, waiter), waitMs, TimeUnit.MILLISECONDS);
    return waiter.answer();
  }

  private synchronized void giveUp(Topic topic, Waiter waiter) {
    if (topic.waiters.remove(waiter)) {
      waiter.answer().complete(topic.page(waiter.from()));
    }
  }

  private static HttpReply newest(Topic topic, HttpCall call) {
    String after = call.query("after_rev").orElse("");
    ObjectNode body = Json.mapper().createObjectNode();
    ArrayNode items = body.putArray("items");
    boolean more = false;
    for (Map.Entry<String, Long> entry : topic.newest.tailMap(after, after.isEmpty()).entrySet()) {
      if (items.size() == PAGE) {
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

  private static List<Stored> records(byte[] body) {
    ByteBuffer bytes = ByteBuffer.wrap(body);
    List<Stored> records = new ArrayList<>();
    while (bytes.hasRemaining()) {
      int length = bytes.getInt();
      byte[] key = new byte[Byte.toUnsignedInt(bytes.get())];
      bytes.get(key);
      byte[] value = new byte[length - 1 - key.length];
      bytes.get(value);
      records.add(new Stored(new String(key, StandardCharsets.UTF_8), value));
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
