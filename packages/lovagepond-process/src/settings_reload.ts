/**
 * Which changed keys a running process may take, and which need a restart.
 */
import {type FileSchema, type FileValues, traitsOf} from './settings_schema.js';

/** A key whose value differs from the one in force. */
export interface ChangedKey {
  readonly section: string;
  readonly key: string;
  /** False: the new value waits for a restart. */
  readonly reloadable: boolean;
}

/**
 * @param schema the file's schema
 * @param current the values in force
 * @param next the values just read
 * @returns the keys that differ
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
