package org.wheatwall.app.process;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.wire.settings.SettingsFault;
import org.wheatwall.wire.settings.SettingsFile;

/** Validates a settings file and reports every fault with its line and remedy. */
public final class CheckVerb implements Verb {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "check a settings file and report every fault";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions("check --settings FILE").value("settings", "settings file to check");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    String file = options.required("settings");
    List<SettingsFault> faults = new ArrayList<>();
    EntrySettings settings = SettingsFile.read(InputFiles.read(file), EntrySettings::read, faults);
    if (settings != null) {
      console.out(file + ": good; host " + settings.host() + " in zone " + settings.zone());
      return DONE;
    }
    faults.forEach(fault -> console.out(file + ": " + fault));
    return FAILED;
  }
}
