/**
 * Hot reload of settings while a process runs.
 */
import {
  checkSettings,
  compareSettings,
  type FileSchema,
  type FileValues,
  formatFault,
  type ProcessRunner,
  readSettings,
  type RoarrLogger,
} from '@lovagepond/process';
import {
  type COMMON_SECTIONS,
  type PlatformValues,
  toProcessSettings,
} from './settings_sections.js';

/** Reloads the settings file of a running process. */
export class SettingsReloader {
  readonly #file: string;
  readonly #schema: FileSchema;
  readonly #log: RoarrLogger;
  #values: FileValues<FileSchema>;

  /**
   * @param file path of the settings file
   * @param schema the schema of the file
   * @param values the values in use
   * @param log receives the changed keys; its level is updated
   */
  constructor(
    file: string,
    schema: FileSchema,
    values: FileValues<typeof COMMON_SECTIONS>,
    log: RoarrLogger,
  ) {
    this.#file = file;
    this.#schema = schema;
    this.#values = values;
    this.#log = log;
  }

  /**
   * Applies changed keys that are reloadable and logs which other changed keys
   * need a restart. A file with a fault changes nothing.
   *
   * @param runner the running process
   */
  reload(runner: ProcessRunner): void {
    const check = checkSettings(readSettings(this.#file), this.#schema);
    if (!check.ok) {
      for (const fault of check.faults) {
        this.#log.error('settings not reloaded', {fault: formatFault(fault)});
      }
      return;
    }
    const changed = compareSettings(this.#schema, this.#values, check.values);
    for (const {section, key, reloadable} of changed) {
      const message = reloadable ? 'setting taken over' : 'needs a restart';
      this.#log.info(message, {section, key});
    }
    const platform = check.values['platform'] as PlatformValues;
    this.#log.setLevel(platform.logLevel);
    runner.configure(toProcessSettings(platform));
    this.#values = check.values;
  }
}
