package org.wheatwall.entry.configuration;

import java.util.Collection;
import org.wheatwall.core.configuration.model.StoredResource;

/** Learns of configuration that came into force on this host. Called on the state thread. */
public interface ConfigurationListener {
  /** Takes in objects that changed; one without a value was removed. */
  void onConfigurationChanged(Collection<StoredResource> objects);
}
