package review;

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

/** The platform's store, as far as the pages tell it: logs with keys, appends, reads, newest. */
final class Store {
  private static final int RECORD_BYTES = 262_144;
  private static final int CALL_BYTES = 2_097_152;
  private static final int READ_BYTES = 1024 * 1024;
  private static final int ANSWER_MS = 4;
  private static final int SILENCE_MS = 20_000;

  private record Item(String key, byte[] value) {}

  private static final class Producer {
    private long epoch = Long.MIN_VALUE;
    private long sequence;
    private final Map<Long, String> answers =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > 5;
          }
        };
  }

  private static final class Topic {
    private final List<Item> items = new ArrayList<>();
    private final TreeMap<String, Integer> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final Record record;
  private final Web web;
  private volatile boolean gateSilent;

  Store(Record record) throws IOException {
    this.record = record;
    this.web = new Web("127.0.0.1", this::handle);
  }

  String address() {
    return web.address();
  }

  /**
   * Returns the address of a second way into the store, for one host, which may be turned away
   * there.
   */
  String gatedAddress() throws IOException {
    return new Web("127.0.0.1", this::handleAtGate).address();
  }

  /** Sets whether calls at the gate get no answer and are not done. */
  void setGateSilent(boolean silent) {
    gateSilent = silent;
    record.line("store: the first host is " + (silent ? "turned away in silence" : "served again"));
  }

  private Web.Answer handleAtGate(Web.Call call) throws Exception {
    if (!gateSilent) {
      Web.Answer answer = handle(call);
      return gateSilent ? silence() : answer;
    }
    if (call.path().equals("/v1/log-append")) {
      record.line("store: an append of the first host is not taken: " + call.query());
    }
    return silence();
  }

  private static Web.Answer silence() throws InterruptedException {
    Thread.sleep(SILENCE_MS);
    return Web.Answer.NONE;
  }

  synchronized void put(String topicName, String key, String value) {
    append(topic(topicName), List.of(new Item(key, value.getBytes(StandardCharsets.UTF_8))));
    notifyAll();
  }

  /** Returns the number of keys with a value in a topic. */
  synchronized int keys(String topicName) {
    return topic(topicName).newest.size();
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private static long append(Topic topic, List<Item> added) {
    long offset = topic.items.size();
    for (Item item : added) {
      if (item.value().length == 0) {
        topic.newest.remove(item.key());
      } else {
        topic.newest.put(item.key(), topic.items.size());
      }
      topic.items.add(item);
    }
    return offset;
  }

  private Web.Answer handle(Web.Call call) throws Exception {
    Thread.sleep(ANSWER_MS);
    return switch (call.path()) {
      case "/v1/log-append" -> append(call);
      case "/v1/log-read" -> read(call);
      case "/v1/log-newest" -> newest(call);
      default -> Web.Answer.json(404, "{}");
    };
  }

  private Web.Answer append(Web.Call call) {
    List<Item> items = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(call.body());
    while (bytes.hasRemaining()) {
      int length = bytes.getInt();
      byte[] key = new byte[Byte.toUnsignedInt(bytes.get())];
      bytes.get(key);
      byte[] value = new byte[length - 1 - key.length];
      bytes.get(value);
      items.add(new Item(new String(key, StandardCharsets.UTF_8), value));
      if (length > RECORD_BYTES) {
        record.line("store: a record of " + length + " bytes is over record_bytes, refused");
        return Web.Answer.json(400, "{\"error\":\"record_bytes\"}");
      }
    }
    if (call.body().length > CALL_BYTES) {
      record.line(
          "store: an append of "
              + call.body().length
              + " bytes by "
              + call.query().get("producer")
              + " is over call_bytes, refused");
      return Web.Answer.json(400, "{\"error\":\"call_bytes\"}");
    }
    return append(call, items);
  }

  private synchronized Web.Answer append(Web.Call call, List<Item> items) {
    Topic topic = topic(call.query().get("topic"));
    Producer producer =
        topic.producers.computeIfAbsent(
            call.query().getOrDefault("producer", ""), key -> new Producer());
    long epoch = call.number("epoch", 0);
    long sequence = call.number("seq", 0);
    if (epoch < producer.epoch) {
      return Web.Answer.json(409, "{\"reason\":\"fenced\"}");
    }
    boolean same = epoch == producer.epoch;
    if (same && producer.answers.containsKey(sequence)) {
      return Web.Answer.json(200, producer.answers.get(sequence));
    }
    if (same && sequence != producer.sequence + 1) {
      return Web.Answer.json(409, "{\"reason\":\"seq\",\"seq\":" + (producer.sequence + 1) + "}");
    }
    String at = call.query().get("at");
    if (at != null && Long.parseLong(at) != topic.items.size()) {
      return Web.Answer.json(412, "{\"end\":" + topic.items.size() + "}");
    }
    long offset = append(topic, items);
    String answer = "{\"offset\":" + offset + ",\"end\":" + topic.items.size() + "}";
    if (!same) {
      producer.answers.clear();
    }
    producer.epoch = epoch;
    producer.sequence = sequence;
    producer.answers.put(sequence, answer);
    notifyAll();
    return Web.Answer.json(200, answer);
  }

  private synchronized Web.Answer read(Web.Call call) throws Exception {
    Topic topic = topic(call.query().get("topic"));
    int from = (int) call.number("from_rev", 0);
    long untilMs = System.nanoTime() / 1_000_000 + call.number("wait_ms", 0);
    long leftMs = call.number("wait_ms", 0);
    while (from >= topic.items.size() && leftMs > 0) {
      wait(leftMs);
      leftMs = untilMs - System.nanoTime() / 1_000_000;
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(topic.items.size());
    out.writeLong(0);
    for (int i = from; i < topic.items.size() && bytes.size() < READ_BYTES; i++) {
      Item item = topic.items.get(i);
      byte[] key = item.key().getBytes(StandardCharsets.UTF_8);
      out.writeInt(1 + key.length + item.value().length);
      out.writeByte(key.length);
      out.write(key);
      out.write(item.value());
    }
    return new Web.Answer(200, bytes.toByteArray());
  }

  private synchronized Web.Answer newest(Web.Call call) {
    Topic topic = topic(call.query().get("topic"));
    String after = call.query().getOrDefault("after_rev", "");
    StringBuilder body = new StringBuilder("{\"items\":[");
    int count = 0;
    boolean more = false;
    for (Map.Entry<String, Integer> entry : topic.newest.tailMap(after, false).entrySet()) {
      if (count >= 500 || body.length() > READ_BYTES) {
        more = true;
        break;
      }
      body.append(count++ == 0 ? "" : ",").append("{\"key\":").append(Json.quote(entry.getKey()));
      body.append(",\"value\":\"")
          .append(
              Base64.getEncoder().encodeToString(topic.items.get(entry.getValue()).value()))
          .append("\",\"offset\":")
          .append(entry.getValue())
          .append('}');
    }
    body.append("],\"more\":").append(more);
    return Web.Answer.json(200, body + ",\"end\":" + topic.items.size() + "}");
  }
}
