package org.wheatwall.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.configuration.model.CapacitySummary;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.core.configuration.model.SnapshotChunk;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.configuration.model.Verdict;

/** Encodes and decodes records of the configuration stream and snapshots between entry hosts. */
public final class LogRecordCodec {
  /** Version of the format; records of any other version are refused. */
  public static final int FORMAT = 1;

  private LogRecordCodec() {}

  /** Writes a record. */
  public static byte[] write(LogRecord record) {
    ObjectNode root = Json.mapper().createObjectNode();
    root.put("format", FORMAT);
    if (record.chunk().isPresent()) {
      SnapshotChunk chunk = record.chunk().get();
      ObjectNode node = root.putObject("snapshot");
      node.put("id", chunk.snapshotId());
      node.put("index", chunk.index());
      node.put("count", chunk.count());
      node.set("part", writeSnapshot(chunk.part()));
    } else {
      ArrayNode changes = root.putArray("changes");
      record.changes().forEach(change -> changes.add(writeChange(change)));
    }
    return Json.bytes(root);
  }

  /** Reads a record; anything malformed or of an unknown format is refused. */
  public static LogRecord read(byte[] bytes) {
    JsonNode root = Json.tree(bytes);
    if (root.path("format").asInt() != FORMAT) {
      throw Refusal.invalid(
          "log record has format " + root.path("format"),
          "run a version of wheatwall that knows the format");
    }
    if (root.has("snapshot")) {
      JsonNode node = root.get("snapshot");
      return LogRecord.ofChunk(
          new SnapshotChunk(
              node.path("id").asText(),
              node.path("index").asInt(),
              node.path("count").asInt(),
              readSnapshot(node.path("part"))));
    }
    List<Change> changes = new ArrayList<>();
    for (JsonNode node : root.path("changes")) {
      changes.add(readChange(node));
    }
    return LogRecord.ofChanges(changes);
  }

  /** Writes a snapshot. */
  public static ObjectNode writeSnapshot(Snapshot snapshot) {
    ObjectNode node = Json.mapper().createObjectNode();
    node.put("nextOffset", snapshot.nextOffset());
    ArrayNode objects = node.putArray("objects");
    for (StoredResource stored : snapshot.objects()) {
      ObjectNode object = objects.addObject();
      writeKey(object, stored.key());
      object.put("version", stored.version());
      stored.value().ifPresent(value -> object.set("value", ResourceCodec.write(value)));
    }
    ArrayNode recent = node.putArray("recent");
    for (Snapshot.Recent entry : snapshot.recent()) {
      ObjectNode verdict = recent.addObject();
      verdict.put("offset", entry.offset());
      verdict.put("id", entry.verdict().changeId());
      verdict.put("decision", entry.verdict().decision().name());
      verdict.put("version", entry.verdict().version());
      verdict.put("detail", entry.verdict().detail());
    }
    return node;
  }

  /** Reads a snapshot. */
  public static Snapshot readSnapshot(JsonNode node) {
    List<StoredResource> objects = new ArrayList<>();
    for (JsonNode object : node.path("objects")) {
      ResourceKey key = readKey(object);
      objects.add(new StoredResource(key, object.path("version").asLong(), readValue(key, object)));
    }
    List<Snapshot.Recent> recent = new ArrayList<>();
    for (JsonNode verdict : node.path("recent")) {
      recent.add(
          new Snapshot.Recent(
              verdict.path("offset").asLong(),
              new Verdict(
                  verdict.path("id").asText(),
                  Verdict.Decision.valueOf(verdict.path("decision").asText()),
                  verdict.path("version").asLong(),
                  verdict.path("detail").asText())));
    }
    return new Snapshot(node.path("nextOffset").asLong(), objects, recent);
  }

  private static ObjectNode writeChange(Change change) {
    ObjectNode node = Json.mapper().createObjectNode();
    node.put("id", change.changeId());
    writeKey(node, change.key());
    node.put("base", change.baseVersion());
    node.put("asOf", change.asOf());
    change.value().ifPresent(value -> node.set("value", ResourceCodec.write(value)));
    change
        .capacity()
        .ifPresent(capacity -> node.set("capacity", Json.mapper().valueToTree(capacity)));
    return node;
  }

  private static Change readChange(JsonNode node) {
    ResourceKey key = readKey(node);
    Optional<CapacitySummary> capacity =
        node.has("capacity")
            ? Optional.of(Json.convert(node.get("capacity"), CapacitySummary.class))
            : Optional.empty();
    return new Change(
        node.path("id").asText(),
        key,
        node.path("base").asLong(),
        node.path("asOf").asLong(),
        readValue(key, node),
        capacity);
  }

  private static void writeKey(ObjectNode node, ResourceKey key) {
    node.put("kind", key.kind().path());
    node.put("name", key.name());
  }

  private static ResourceKey readKey(JsonNode node) {
    String kind = node.path("kind").asText();
    return new ResourceKey(
        ResourceKind.ofPath(kind)
            .orElseThrow(
                () ->
                    Refusal.invalid(
                        "unknown kind \"" + kind + "\"", "use a kind that the operator API lists")),
        node.path("name").asText());
  }

  private static Optional<org.wheatwall.core.common.Resource> readValue(
      ResourceKey key, JsonNode node) {
    return node.has("value")
        ? Optional.of(ResourceCodec.read(key.kind(), node.get("value")))
        : Optional.empty();
  }
}
