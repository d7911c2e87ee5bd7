package org.wheatwall.entry.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.wire.http.HttpCall;

/**
 * Checks operators' tokens. Health checks need no token; if the settings have no tokens, no call
 * does.
 */
public final class AccessRule {
  private static final String SCHEME = "Bearer ";
  private static final String HEALTH_PREFIX = "/v1/health/";

  private final EntrySettings.Tokens tokens;

  /** Creates the rule. */
  public AccessRule(EntrySettings.Tokens tokens) {
    this.tokens = tokens;
  }

  /** Returns the scope of a call; throws a {@link Refusal} if its token does not permit it. */
  JobScope check(HttpCall call) {
    if (!tokens.required() || call.path().startsWith(HEALTH_PREFIX)) {
      return JobScope.ALL;
    }
    String header = call.header("Authorization").orElse("");
    if (!header.startsWith(SCHEME)) {
      throw new Refusal(
          RefusalKind.UNAUTHENTICATED,
          "the call carries no token",
          "send Authorization: Bearer with a token from the settings");
    }
    byte[] token = header.substring(SCHEME.length()).trim().getBytes(StandardCharsets.UTF_8);
    Optional<String> workspace = workspaceOf(token);
    if (workspace.isPresent()) {
      return JobScope.of(workspace.get());
    }
    List<String> knownTokens = new ArrayList<>(tokens.read());
    knownTokens.addAll(tokens.write());
    knownTokens.addAll(tokens.administer());
    if (!isOneOf(token, knownTokens)) {
      throw new Refusal(
          RefusalKind.UNAUTHENTICATED, "the token is not known", "use a token from the settings");
    }
    if (!isOneOf(token, permittedTokens(call))) {
      throw new Refusal(
          RefusalKind.FORBIDDEN,
          "the token's role does not permit this call",
          "use a token of a higher role");
    }
    return JobScope.ALL;
  }

  private Optional<String> workspaceOf(byte[] token) {
    Optional<String> found = Optional.empty();
    for (Map.Entry<String, List<String>> entry : tokens.workspaces().entrySet()) {
      if (isOneOf(token, entry.getValue())) {
        found = Optional.of(entry.getKey());
      }
    }
    return found;
  }

  private List<String> permittedTokens(HttpCall call) {
    List<String> permittedTokens = new ArrayList<>(tokens.administer());
    boolean isRead = call.method().equals("GET");
    boolean isJobCall = call.path().startsWith("/v1/jobs/");
    if (isRead) {
      permittedTokens.addAll(tokens.read());
    }
    if (isRead || isJobCall) {
      permittedTokens.addAll(tokens.write());
    }
    return permittedTokens;
  }

  // Compares every token whatever the result, so that the response time reveals nothing about them.
  private static boolean isOneOf(byte[] token, List<String> knownTokens) {
    boolean found = false;
    for (String candidate : knownTokens) {
      found |= MessageDigest.isEqual(token, candidate.getBytes(StandardCharsets.UTF_8));
    }
    return found;
  }
}
