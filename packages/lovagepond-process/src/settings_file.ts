/**
 * Reads and validates a whole settings file.
 */
import {readFileSync} from 'node:fs';
import {resolve} from 'node:path';
import {parse} from 'ini';
import {type z} from '@lovagepond/core';
import {type SettingsFault} from './settings_errors.js';
import {
  type FileSchema,
  type FileValues,
  keysOf,
  type SectionSchema,
  traitsOf,
} from './settings_schema.js';
import {formatHostPort, type HostPort} from './settings_units.js';

/** Sections and keys with their unparsed values. */
export type RawSettings = Readonly<
  Record<string, Readonly<Record<string, string>>>
>;

/** A parsed file, before its values are validated. */
export interface ParsedSettings {
  readonly file: string;
  readonly sections: RawSettings;
  readonly faults: readonly SettingsFault[];
}

/** An address that a process listens on, with its place in the file. */
export interface ListenAddress {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly address: HostPort;
}

/** A folder that belongs to one process, with its place in the file. */
export interface OwnedFolder {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly folder: string;
}

/** Result of a validation: the values, or all faults. */
export type SettingsCheck<Schema extends FileSchema> =
  | {
      readonly ok: true;
      readonly values: FileValues<Schema>;
      readonly listens: readonly ListenAddress[];
      readonly folders: readonly OwnedFolder[];
    }
  | {readonly ok: false; readonly faults: readonly SettingsFault[]};

const ANY_HOST = new Set(['0.0.0.0', '::']);

/**
 * @param file the file's name, for the faults
 * @param text the file's content
 * @returns the sections, and faults for keys outside of any section and for
 *     repeated keys
 */
export function parseSettings(file: string, text: string): ParsedSettings {
  const faults: SettingsFault[] = findRepeatedKeys(file, text);
  const sections: Record<string, Record<string, string>> = {};
  for (const [section, content] of Object.entries(parse(text))) {
    if (typeof content !== 'object' || content === null) {
      const message = 'is outside of any section; put it under [section]';
      faults.push({file, section: '', key: section, message});
      continue;
    }
    const keys = Object.entries(content as Record<string, unknown>);
    sections[section] = Object.fromEntries(
      keys.map(([key, value]) => [key, String(value)]),
    );
  }
  return {file, sections, faults};
}

/**
 * @param file path of the file
 * @returns the parsed file, with a fault when it can't be read
 */
export function readSettings(file: string): ParsedSettings {
  try {
    return parseSettings(file, readFileSync(file, 'utf8'));
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    const message = `can't be read: ${reason}`;
    return {
      file,
      sections: {},
      faults: [{file, section: '', key: '', message}],
    };
  }
}

/**
 * Finds keys that occur more than once in a section. The library silently keeps
 * the last value, so that changing the first one would have no effect.
 */
function findRepeatedKeys(file: string, text: string): SettingsFault[] {
  const faults: SettingsFault[] = [];
  const seen = new Set<string>();
  let section = '';
  for (const line of text.split(/\r?\n/)) {
    const header = /^\s*\[([^\]]+)\]\s*$/.exec(line);
    if (header) section = (header[1] ?? '').trim();
    const key = /^\s*([^;#[=\s][^=]*?)\s*=/.exec(line)?.[1];
    if (key === undefined) continue;
    const place = `${section}\n${key}`;
    if (seen.has(place)) {
      faults.push({file, section, key, message: 'is set twice; keep one'});
    }
    seen.add(place);
  }
  return faults;
}

/**
 * Validates all sections, and that no two listen addresses overlap.
 *
 * @param parsed the parsed file
 * @param schema the file's schema
 * @returns the values, or all faults at once
 */
export function checkSettings<Schema extends FileSchema>(
  parsed: ParsedSettings,
  schema: Schema,
): SettingsCheck<Schema> {
  const faults = [...parsed.faults, ...findUnknownSections(parsed, schema)];
  const values: Record<string, unknown> = {};
  const listens: ListenAddress[] = [];
  const folders: OwnedFolder[] = [];
  for (const [section, sectionSchema] of Object.entries(schema)) {
    const checked = sectionSchema.safeParse(parsed.sections[section] ?? {});
    if (!checked.success) {
      faults.push(...describeIssues(parsed, section, sectionSchema, checked));
      continue;
    }
    values[section] = checked.data;
    const {file} = parsed;
    for (const [key, value] of Object.entries(checked.data)) {
      const place = {file, section, key};
      const {listens: isAddress, owned} = traitsOf(sectionSchema, key);
      if (isAddress) listens.push({...place, address: value as HostPort});
      if (owned) folders.push({...place, folder: String(value)});
    }
  }
  faults.push(...findOverlaps(listens));
  if (faults.length > 0) return {ok: false, faults};
  return {ok: true, values: values as FileValues<Schema>, listens, folders};
}

function findUnknownSections(
  {file, sections}: ParsedSettings,
  schema: FileSchema,
): SettingsFault[] {
  const known = Object.keys(schema);
  return Object.keys(sections)
    .filter(section => !known.includes(section))
    .map(section => {
      const message = `unknown section; known: ${known.join(', ')}`;
      return {file, section, key: '', message};
    });
}

function describeIssues(
  {file}: ParsedSettings,
  section: string,
  schema: SectionSchema,
  {error}: {readonly error: z.ZodError},
): SettingsFault[] {
  return error.issues.flatMap((issue): SettingsFault[] => {
    if (issue.code === 'unrecognized_keys') {
      const message = `unknown key; known: ${keysOf(schema).join(', ')}`;
      return issue.keys.map(key => ({file, section, key, message}));
    }
    const key = String(issue.path[0] ?? '');
    return [{file, section, key, message: issue.message}];
  });
}

function overlaps(one: HostPort, other: HostPort): boolean {
  if (one.port !== other.port || one.port === 0) return false;
  const anyHost = ANY_HOST.has(one.host) || ANY_HOST.has(other.host);
  return anyHost || one.host === other.host;
}

/**
 * @param listens listen addresses of one file, or of all files of one host
 * @returns a fault for each address that overlaps with an earlier one
 */
export function findOverlaps(
  listens: readonly ListenAddress[],
): SettingsFault[] {
  return listens.flatMap((listen, index) => {
    const {file, section, key, address} = listen;
    const earlier = listens
      .slice(0, index)
      .find(other => overlaps(other.address, address));
    if (!earlier) return [];
    const place = `[${earlier.section}] ${earlier.key} of ${earlier.file}`;
    const text = formatHostPort(address);
    const message = `${text} is taken by ${place}; choose another port`;
    return [{file, section, key, message}];
  });
}

/**
 * Two control members with one folder would write to one log and vote under one
 * identity, and would detect the damaged records only at a restart.
 *
 * @param folders folders of all processes on one host
 * @returns a fault for each folder that an earlier entry uses already
 */
export function findSharedFolders(
  folders: readonly OwnedFolder[],
): SettingsFault[] {
  return folders.flatMap(({file, section, key, folder}, index) => {
    const path = resolve(folder);
    const earlier = folders
      .slice(0, index)
      .find(other => resolve(other.folder) === path);
    if (!earlier) return [];
    const message = `${folder} belongs to ${earlier.file}; choose another folder`;
    return [{file, section, key, message}];
  });
}
