package org.wheatwall.wire.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Refusal;

/** Shared JSON mapper, which refuses unknown keys and trailing tokens. */
public final class Json {
  private static final ObjectMapper MAPPER = create();

  private Json() {}

  /** Returns the mapper. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /** Returns {@code value} as UTF-8 JSON. */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write a value as JSON", e);
    }
  }

  /** Reads a value; malformed input is refused with a message that names what is wrong. */
  public static <T> T read(byte[] json, Class<T> type) {
    try {
      T value = MAPPER.readValue(json, type);
      if (value == null) {
        throw Refusal.invalid("the JSON value is null", "send an object");
      }
      return value;
    } catch (IOException e) {
      throw refusal(e);
    }
  }

  /** Reads a tree; malformed input is refused. */
  public static JsonNode tree(byte[] json) {
    return read(json, JsonNode.class);
  }

  /** Converts a tree to a value; a tree that does not match the type is refused. */
  public static <T> T convert(JsonNode tree, Class<T> type) {
    try {
      T value = MAPPER.treeToValue(tree, type);
      if (value == null) {
        throw Refusal.invalid("the JSON value is null", "send an object");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw refusal(e);
    }
  }

  private static Refusal refusal(IOException failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof Refusal refusal) {
        return refusal;
      }
    }
    String message = failure.getMessage() == null ? "unreadable" : failure.getMessage();
    return Refusal.invalid(
        "malformed JSON: " + message.lines().findFirst().orElse(""),
        "correct the JSON at the place named");
  }

  private static ObjectMapper create() {
    SimpleModule module = new SimpleModule();
    module.addSerializer(Labels.class, new LabelsWriter());
    module.addSerializer(new OptionalWriter());
    OptionalDeserializers readers = new OptionalDeserializers();
    readers.addDeserializer(Labels.class, new LabelsReader());
    module.setDeserializers(readers);
    return JsonMapper.builder()
        .addModule(module)
        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        .enable(DeserializationFeature.READ_ENUMS_USING_TO_STRING)
        .enable(SerializationFeature.WRITE_ENUMS_USING_TO_STRING)
        .serializationInclusion(JsonInclude.Include.NON_NULL)
        .build();
  }

  private static final class LabelsWriter extends JsonSerializer<Labels> {
    @Override
    public void serialize(Labels labels, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writePOJO(labels.entries());
    }
  }

  private static final class LabelsReader extends JsonDeserializer<Labels> {
    @Override
    public Labels deserialize(JsonParser in, DeserializationContext context) throws IOException {
      Map<String, String> entries =
          context.readValue(
              in,
              context
                  .getTypeFactory()
                  .constructMapType(java.util.HashMap.class, String.class, String.class));
      return new Labels(entries);
    }
  }

  // Implemented here because Jackson's jdk8 module brings far more than this one type.
  private static final class OptionalWriter
      extends com.fasterxml.jackson.databind.ser.std.StdSerializer<Optional<?>> {
    private static final long serialVersionUID = 1L;

    OptionalWriter() {
      super(Optional.class, false);
    }

    @Override
    public void serialize(Optional<?> value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      if (value.isPresent()) {
        out.writePOJO(value.get());
      } else {
        out.writeNull();
      }
    }
  }

  private static final class OptionalDeserializers
      extends com.fasterxml.jackson.databind.module.SimpleDeserializers {
    private static final long serialVersionUID = 1L;

    @Override
    public JsonDeserializer<?> findBeanDeserializer(
        JavaType type, DeserializationConfig config, BeanDescription description)
        throws com.fasterxml.jackson.databind.JsonMappingException {
      if (type.hasRawClass(Optional.class)) {
        return new OptionalReader(type.containedTypeOrUnknown(0));
      }
      return super.findBeanDeserializer(type, config, description);
    }
  }

  private static final class OptionalReader extends StdDeserializer<Optional<?>> {
    private static final long serialVersionUID = 1L;

    private final JavaType content;

    OptionalReader(JavaType content) {
      super(Optional.class);
      this.content = content;
    }

    @Override
    public Optional<?> deserialize(JsonParser in, DeserializationContext context)
        throws IOException {
      return Optional.ofNullable(context.readValue(in, content));
    }

    @Override
    public Optional<?> getNullValue(DeserializationContext context) {
      return Optional.empty();
    }
  }
}
