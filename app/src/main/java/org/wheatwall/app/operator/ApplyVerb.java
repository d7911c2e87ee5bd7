package org.wheatwall.app.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.app.process.InputFiles;
import org.wheatwall.core.common.Refusal;

/** Creates or updates the objects in a file. */
public final class ApplyVerb implements Verb {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String summary() {
    return "create or change the objects in a file";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        OperatorClient.options("apply -f FILE")
            .value("f", "file", "one object or a list: kind, name, optional version, spec");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    JsonNode root = read(options.required("file"));
    OperatorClient client = OperatorClient.of(options);
    int failures = 0;
    for (JsonNode item : root.isArray() ? root : List.of(root)) {
      failures += apply(client, item, console) ? 0 : 1;
    }
    return failures == 0 ? DONE : FAILED;
  }

  private static JsonNode read(String file) {
    try {
      return MAPPER.readTree(InputFiles.read(file));
    } catch (JsonProcessingException e) {
      throw Refusal.invalid(
          file + " line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage(),
          "correct the JSON there");
    }
  }

  private static boolean apply(OperatorClient client, JsonNode item, Console console) {
    String path = "/v1/" + item.path("kind").asText() + "/" + item.path("name").asText();
    try {
      Optional<Long> version =
          item.has("version")
              ? Optional.of(item.get("version").asLong())
              : currentVersion(client, path);
      JsonNode result = client.put(path, item.path("spec"), version);
      boolean inForce = result.has("version");
      console.out(
          path.substring("/v1/".length())
              + (inForce ? " in force at version " + result.get("version") : " not yet in force"));
      return true;
    } catch (Refusal refusal) {
      console.err(path.substring("/v1/".length()) + ": " + refusal.getMessage());
      return false;
    }
  }

  private static Optional<Long> currentVersion(OperatorClient client, String path) {
    return client.find(path).map(found -> found.path("version").asLong());
  }
}
