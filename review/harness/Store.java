package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store: logs of keyed records with one partition, appends with
 * producers, epochs and sequence numbers, reads that wait, and the newest record of each key.
 */
final class Store {
  private static final int PAGE_SIZE = 500;
  private static final int RETAINED_ANSWERS = 5;
  // A connection that has lost an answer says nothing further.
  private static final int SILENCE_MS = 10_000;

  private final Map<String, Topic> topics = new HashMap<>();
  private volatile AppendFaults faults = keys -> -1;
  private int appends;

  /** Decides which appends get no answer. */
  interface AppendFaults {
    /**
     * Returns after how many milliseconds an append with records of these keys is carried out
     * without an answer, or -1 if it is carried out and answered at once.
     */
    long unansweredAfterMs(List<String> keys);
  }

  private record Entry(String key, byte[] value) {}

  private static final class Producer {
    private long epoch = -1;
    private long sequence;
    private final LinkedHashMap<Long, Long> offsets = new LinkedHashMap<>();
  }

  private static final class Topic {
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<String, Integer> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();
  }

  /** An address of the store that one daemon uses, so that it can be turned away alone. */
  final class Entrance {
    private final HttpServer server;
    private volatile boolean silent;

    Entrance(String ip) throws IOException {
      server = Http.serve(ip, this::handle);
    }

    String address() {
      return Http.address(server);
    }

    /** Makes the store do and answer nothing here, or serve again. */
    void setSilent(boolean next) {
      silent = next;
    }

    private void handle(HttpExchange exchange) throws IOException {
      if (silent) {
        leaveUnanswered(exchange);
      } else {
        Store.this.handle(exchange, this);
      }
    }
  }

  private static void leaveUnanswered(HttpExchange exchange) {
    Http.sleep(SILENCE_MS);
    exchange.close();
  }

  void setFaults(AppendFaults next) {
    faults = next;
  }

  /** Returns the number of appends that daemons have sent. */
  synchronized int appends() {
    return appends;
  }

  /** Writes a record as the operator or a runner does; an empty value drops the key. */
  synchronized void put(String topic, String key, byte[] value) {
    append(topic(topic), List.of(new Entry(key, value)));
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private long append(Topic topic, List<Entry> added) {
    long offset = topic.entries.size();
    for (Entry entry : added) {
      if (entry.value().length == 0) {
        topic.newest.remove(entry.key());
      } else {
        topic.newest.put(entry.key(), topic.entries.size());
      }
      topic.entries.add(entry);
    }
    notifyAll();
    return offset;
  }

  private void handle(HttpExchange exchange, Entrance entrance) throws IOException {
    Map<String, String> query = Http.query(exchange);
    byte[] body = exchange.getRequestBody().readAllBytes();
    switch (exchange.getRequestURI().getPath()) {
      case "/v1/log-append" -> handleAppend(exchange, query, body);
      case "/v1/log-read" -> handleRead(exchange, query, entrance);
      case "/v1/log-newest" -> handleNewest(exchange, query);
      default -> Http.reply(exchange, 404, new byte[0]);
    }
  }

  private void handleAppend(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException {
    List<Entry> entries = decode(body);
    synchronized (this) {
      appends++;
    }
    long delayMs = faults.unansweredAfterMs(entries.stream().map(Entry::key).toList());
    if (delayMs >= 0) {
      Http.sleep(delayMs);
      append(query, entries);
      leaveUnanswered(exchange);
      return;
    }
    Answer answer = append(query, entries);
    Http.reply(exchange, answer.status(), answer.body());
  }

  private record Answer(int status, ObjectNode body) {}

  private synchronized Answer append(Map<String, String> query, List<Entry> entries) {
    Topic topic = topic(query.get("topic"));
    ObjectNode body = Http.JSON.createObjectNode();
    Producer producer =
        topic.producers.computeIfAbsent(query.getOrDefault("producer", ""), key -> new Producer());
    long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
    long sequence = Long.parseLong(query.getOrDefault("seq", "0"));
    if (epoch < producer.epoch) {
      return new Answer(409, body.put("reason", "fenced"));
    }
    if (epoch == producer.epoch) {
      Long known = producer.offsets.get(sequence);
      if (known != null) {
        return new Answer(200, body.put("offset", known).put("end", topic.entries.size()));
      }
      if (sequence != producer.sequence + 1) {
        return new Answer(409, body.put("reason", "seq").put("seq", producer.sequence + 1));
      }
    }
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.entries.size()) {
      return new Answer(412, body.put("end", topic.entries.size()));
    }
    if (epoch > producer.epoch) {
      producer.offsets.clear();
    }
    long offset = append(topic, entries);
    producer.epoch = epoch;
    producer.sequence = sequence;
    producer.offsets.put(sequence, offset);
    if (producer.offsets.size() > RETAINED_ANSWERS) {
      producer.offsets.remove(producer.offsets.keySet().iterator().next());
    }
    return new Answer(200, body.put("offset", offset).put("end", topic.entries.size()));
  }

  private void handleRead(HttpExchange exchange, Map<String, String> query, Entrance entrance)
      throws IOException {
    int from = Integer.parseInt(query.get("from_rev"));
    long untilNanos =
        System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
    byte[] records = read(query.get("topic"), from, untilNanos);
    if (entrance.silent) {
      leaveUnanswered(exchange);
    } else {
      Http.reply(exchange, 200, records);
    }
  }

  private synchronized byte[] read(String name, int from, long untilNanos) throws IOException {
    Topic topic = topic(name);
    while (from >= topic.entries.size() && System.nanoTime() < untilNanos) {
      try {
        wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(topic.entries.size());
    out.writeLong(0);
    for (Entry entry : topic.entries.subList(from, topic.entries.size())) {
      byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
      out.writeInt(1 + key.length + entry.value().length);
      out.writeByte(key.length);
      out.write(key);
      out.write(entry.value());
    }
    return bytes.toByteArray();
  }

  private void handleNewest(HttpExchange exchange, Map<String, String> query) throws IOException {
    ObjectNode body = Http.JSON.createObjectNode();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      String after = query.getOrDefault("after_rev", "");
      ArrayNode items = body.putArray("items");
      boolean more = false;
      for (Map.Entry<String, Integer> entry :
          topic.newest.tailMap(after, after.isEmpty()).entrySet()) {
        if (items.size() == PAGE_SIZE) {
          more = true;
          break;
        }
        items
            .addObject()
            .put("key", entry.getKey())
            .put(
                "value",
                Base64.getEncoder().encodeToString(topic.entries.get(entry.getValue()).value()))
            .put("offset", entry.getValue().longValue());
      }
      body.put("more", more).put("end", (long) topic.entries.size());
    }
    Http.reply(exchange, 200, body);
  }

  private static List<Entry> decode(byte[] body) {
    ByteBuffer bytes = ByteBuffer.wrap(body);
    List<Entry> entries = new ArrayList<>();
    while (bytes.hasRemaining()) {
      int length = bytes.getInt();
      byte[] key = new byte[Byte.toUnsignedInt(bytes.get())];
      bytes.get(key);
      byte[] value = new byte[length - 1 - key.length];
      bytes.get(value);
      entries.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
    }
    return entries;
  }
}
