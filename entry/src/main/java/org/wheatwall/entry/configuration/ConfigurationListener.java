package org.wheatwall.entry.configuration;

import java.util.Collection;
import org.wheatwall.core.configuration.model.StoredResource;

/** Receives configuration that has taken effect on this host. Called on the state thread. */
public interface ConfigurationListener {
  /** Called with the objects that changed; an object without a value was deleted. */
  void onConfigurationChanged(Collection<StoredResource> objects);
}
