/**
 * Checks settings files of all roles, alone and against each other.
 */
import {
  checkSettings,
  findOverlaps,
  type ListenAddress,
  type ParsedSettings,
  readSettings,
  type SettingsFault,
} from '@lovagepond/platform';
import {ROLE_NAMES, type RoleName} from './cli_constants.js';
import {ROLE_SCHEMAS} from './role_schemas.js';

/** What a check of several files gives. */
export interface FilesCheck {
  readonly faults: readonly SettingsFault[];
}

/**
 * @param parsed a settings file
 * @returns the role it is for, or undefined when it names none
 */
export function roleOf(parsed: ParsedSettings): RoleName | undefined {
  const role = parsed.sections['process']?.['role'];
  return ROLE_NAMES.find(name => name === role);
}

function describeMissingRole(file: string): SettingsFault {
  const message = `is missing or unknown; one of ${ROLE_NAMES.join(', ')}`;
  return {file, section: 'process', key: 'role', message};
}

/**
 * @param files paths of settings files of processes of one host
 * @returns every fault of every file, and addresses that two processes take
 */
export function checkSettingsFiles(files: readonly string[]): FilesCheck {
  const faults: SettingsFault[] = [];
  const listens: ListenAddress[] = [];
  for (const file of files) {
    const parsed = readSettings(file);
    const role = roleOf(parsed);
    if (!role) {
      faults.push(...parsed.faults, describeMissingRole(file));
      continue;
    }
    const check = checkSettings(parsed, ROLE_SCHEMAS[role]);
    if (check.ok) listens.push(...check.listens);
    else faults.push(...check.faults);
  }
  return {faults: [...faults, ...findOverlaps(listens)]};
}
