package org.wheatwall.app.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.wire.json.Json;

/** Lists the objects of a kind, or prints one of them. */
public final class GetVerb implements Verb {
  @Override
  public String name() {
    return "get";
  }

  @Override
  public String summary() {
    return "list workspaces, shapes, policies, jobs, hosts or services, or show one";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        OperatorClient.options("get KIND [NAME] [-l SELECTOR] [-o json|table]")
            .value("l", "selector", "label selector, as a=b,c in (d,e),!f")
            .value("o", "output", "json or table, default table");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    List<String> rest = options.positionalArguments();
    if (rest.isEmpty() || rest.size() > 2) {
      throw new ParseException("name a kind, and optionally an object");
    }
    String format = options.text("output", "table");
    if (!format.equals("table") && !format.equals("json")) {
      throw new ParseException("--output is json or table");
    }
    OperatorClient client = OperatorClient.of(options);
    boolean table = format.equals("table");
    if (rest.size() == 2) {
      JsonNode item = client.get("/v1/" + rest.get(0) + "/" + rest.get(1));
      print(List.of(item), item, table, console);
    } else {
      List<JsonNode> items = listAll(client, rest.get(0), options.text("selector", ""));
      ObjectNode list = Json.mapper().createObjectNode();
      list.putArray("items").addAll(items);
      print(items, list, table, console);
    }
    return DONE;
  }

  private static void print(
      List<JsonNode> items, JsonNode document, boolean table, Console console) {
    if (table) {
      DocumentPrinter.printTable(items, console);
    } else {
      DocumentPrinter.printJson(document, console);
    }
  }

  private static List<JsonNode> listAll(OperatorClient client, String kind, String selector) {
    List<JsonNode> items = new ArrayList<>();
    String continueToken = "";
    do {
      JsonNode page =
          client.get(
              "/v1/"
                  + kind
                  + "?limit=1000&labelSelector="
                  + OperatorClient.escape(selector)
                  + "&continue="
                  + OperatorClient.escape(continueToken));
      page.path("items").forEach(items::add);
      continueToken = page.path("continue").asText("");
    } while (!continueToken.isEmpty());
    return items;
  }
}
