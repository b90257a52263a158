/**
 * Determines which changed settings a reload applies and which need a restart.
 */
import {type FileSchema, type FileValues, traitsOf} from './settings_schema.js';

/** A key whose value differs from the current one. */
export interface ChangedKey {
  readonly section: string;
  readonly key: string;
  /** False when the new value takes effect only after a restart. */
  readonly reloadable: boolean;
}

/**
 * @param schema the file's schema
 * @param current the current values
 * @param next the values just read
 * @returns the keys whose values differ
 */
export function compareSettings<Schema extends FileSchema>(
  schema: Schema,
  current: FileValues<Schema>,
  next: FileValues<Schema>,
): ChangedKey[] {
  const changed: ChangedKey[] = [];
  for (const [section, sectionSchema] of Object.entries(schema)) {
    const before = current[section] as Readonly<Record<string, unknown>>;
    const after = next[section] as Readonly<Record<string, unknown>>;
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    for (const key of keys) {
      const same = JSON.stringify(before[key]) === JSON.stringify(after[key]);
      if (same) continue;
      const reloadable = traitsOf(sectionSchema, key).reloadable ?? false;
      changed.push({section, key, reloadable});
    }
  }
  return changed;
}
