package org.wheatwall.core.common;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A label selector; all requirements must hold. Syntax: {@code key=value}, {@code key!=value},
 * {@code key in (a,b)}, {@code key notin (a,b)}, {@code key}, {@code !key}, separated by commas.
 * The empty selector matches everything.
 */
public record Selector(List<Requirement> requirements) {
  /** Matches every object. */
  public static final Selector EVERYTHING = new Selector(List.of());

  private static final String REMEDY =
      "write requirements as key=value, key!=value, key in (a,b), key notin (a,b), key or !key,"
          + " separated by commas";

  /** Comparison operators of a requirement. */
  public enum Operator {
    IN,
    NOT_IN,
    EXISTS,
    ABSENT
  }

  /** One requirement on one key. */
  public record Requirement(String key, Operator operator, Set<String> values) {
    /** Copies the values into sorted order. */
    public Requirement {
      values = java.util.Collections.unmodifiableSet(new TreeSet<>(values));
    }

    boolean matches(Labels labels) {
      String actual = labels.entries().get(key);
      return switch (operator) {
        case IN -> actual != null && values.contains(actual);
        case NOT_IN -> actual == null || !values.contains(actual);
        case EXISTS -> actual != null;
        case ABSENT -> actual == null;
      };
    }

    private String text() {
      String list = String.join(",", values);
      return switch (operator) {
        case IN -> values.size() == 1 ? key + "=" + list : key + " in (" + list + ")";
        case NOT_IN -> values.size() == 1 ? key + "!=" + list : key + " notin (" + list + ")";
        case EXISTS -> key;
        case ABSENT -> "!" + key;
      };
    }
  }

  /** Copies the requirements. */
  public Selector {
    requirements = List.copyOf(requirements);
  }

  /** Parses {@code text}; null or blank selects everything. */
  public static Selector parse(String text) {
    if (text == null || text.isBlank()) {
      return EVERYTHING;
    }
    List<Requirement> parsed = new ArrayList<>();
    for (String part : splitOutsideParentheses(text)) {
      parsed.add(parseRequirement(part.trim()));
    }
    return new Selector(parsed);
  }

  /** Returns whether every requirement holds for {@code labels}. */
  public boolean matches(Labels labels) {
    for (Requirement requirement : requirements) {
      if (!requirement.matches(labels)) {
        return false;
      }
    }
    return true;
  }

  /** Returns text that parses to an equal selector. */
  public String text() {
    List<String> parts = new ArrayList<>();
    for (Requirement requirement : requirements) {
      parts.add(requirement.text());
    }
    return String.join(",", parts);
  }

  private static List<String> splitOutsideParentheses(String text) {
    List<String> parts = new ArrayList<>();
    int depth = 0;
    int start = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '(') {
        depth++;
      } else if (c == ')') {
        depth--;
      } else if (c == ',' && depth == 0) {
        parts.add(text.substring(start, i));
        start = i + 1;
      }
    }
    if (depth != 0) {
      throw malformed(text);
    }
    parts.add(text.substring(start));
    return parts;
  }

  private static Requirement parseRequirement(String part) {
    int notIn = part.indexOf(" notin ");
    if (notIn > 0) {
      return requirement(
          part, part.substring(0, notIn), Operator.NOT_IN, values(part, part.substring(notIn + 7)));
    }
    int in = part.indexOf(" in ");
    if (in > 0) {
      return requirement(
          part, part.substring(0, in), Operator.IN, values(part, part.substring(in + 4)));
    }
    int notEqual = part.indexOf("!=");
    if (notEqual > 0) {
      return requirement(
          part,
          part.substring(0, notEqual),
          Operator.NOT_IN,
          Set.of(part.substring(notEqual + 2).trim()));
    }
    int equal = part.indexOf('=');
    if (equal > 0) {
      String value = part.substring(part.startsWith("==", equal) ? equal + 2 : equal + 1);
      return requirement(part, part.substring(0, equal), Operator.IN, Set.of(value.trim()));
    }
    if (part.startsWith("!")) {
      return requirement(part, part.substring(1), Operator.ABSENT, Set.of());
    }
    return requirement(part, part, Operator.EXISTS, Set.of());
  }

  private static Set<String> values(String part, String list) {
    String trimmed = list.trim();
    if (!trimmed.startsWith("(") || !trimmed.endsWith(")")) {
      throw malformed(part);
    }
    Set<String> values = new TreeSet<>();
    for (String value : trimmed.substring(1, trimmed.length() - 1).split(",", -1)) {
      values.add(value.trim());
    }
    return values;
  }

  private static Requirement requirement(
      String part, String key, Operator operator, Set<String> values) {
    String trimmed = key.trim();
    boolean wellFormed = Names.isLabelText(trimmed) && values.stream().allMatch(Names::isLabelText);
    if (!wellFormed) {
      throw malformed(part);
    }
    return new Requirement(trimmed, operator, values);
  }

  private static Refusal malformed(String part) {
    return Refusal.invalid("label selector \"" + part + "\" cannot be read", REMEDY);
  }
}
