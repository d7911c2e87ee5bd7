package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal JSON reader and writer: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skip();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("trailing text at " + json.at);
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  static String text(Map<String, Object> object, String name) {
    Object value = object.get(name);
    return value == null ? "" : String.valueOf(value);
  }

  static long number(Map<String, Object> object, String name, long otherwise) {
    return object.get(name) instanceof Number number ? number.longValue() : otherwise;
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      return map();
    }
    if (c == '[') {
      return list();
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
    };
  }

  private Map<String, Object> map() {
    Map<String, Object> result = new LinkedHashMap<>();
    at++;
    skip();
    while (text.charAt(at) != '}') {
      skip();
      String key = string();
      skip();
      at++;
      result.put(key, value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
        skip();
      }
    }
    at++;
    return result;
  }

  private List<Object> list() {
    List<Object> result = new ArrayList<>();
    at++;
    skip();
    while (text.charAt(at) != ']') {
      result.add(value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
        skip();
      }
    }
    at++;
    return result;
  }

  private String string() {
    StringBuilder result = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        result.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> result.append('\n');
        case 't' -> result.append('\t');
        case 'r' -> result.append('\r');
        case 'b' -> result.append('\b');
        case 'f' -> result.append('\f');
        case 'u' -> {
          result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> result.append(escaped);
      }
    }
    at++;
    return result.toString();
  }

  static String quote(String value) {
    StringBuilder result = new StringBuilder("\"");
    for (char c : value.toCharArray()) {
      if (c == '"' || c == '\\') {
        result.append('\\').append(c);
      } else if (c < ' ') {
        result.append(String.format("\\u%04x", (int) c));
      } else {
        result.append(c);
      }
    }
    return result.append('"').toString();
  }
}
