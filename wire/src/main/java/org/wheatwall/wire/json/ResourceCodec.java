package org.wheatwall.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.HostAdminState;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.core.request.model.ServiceSpec;

/** Reads and writes the content of configuration objects as JSON. */
public final class ResourceCodec {
  private ResourceCodec() {}

  /** Returns the class of the content of objects of a kind. */
  public static Class<? extends Resource> type(ResourceKind kind) {
    return switch (kind) {
      case WORKSPACES -> Workspace.class;
      case SHAPES -> GuaranteedShape.class;
      case POLICIES -> PolicySpec.class;
      case JOBS -> Job.class;
      case HOSTS -> HostAdminState.class;
      case SERVICES -> ServiceSpec.class;
      case VIEWS -> ZoneView.class;
    };
  }

  /** Reads the content of an object. */
  public static Resource read(ResourceKind kind, byte[] json) {
    return Json.read(json, type(kind));
  }

  /** Reads the content of an object from a tree. */
  public static Resource read(ResourceKind kind, JsonNode tree) {
    return Json.convert(tree, type(kind));
  }

  /** Writes the content of an object. */
  public static JsonNode write(Resource resource) {
    return Json.mapper().valueToTree(resource);
  }
}
