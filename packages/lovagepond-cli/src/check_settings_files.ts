/**
 * Validates settings files of all roles, each alone and against the others.
 */
import {
  checkSettings,
  findOverlaps,
  findSharedFolders,
  type ListenAddress,
  type OwnedFolder,
  type ParsedSettings,
  readSettings,
  type SettingsFault,
} from '@lovagepond/process';
import {ROLE_NAMES} from './cli_constants.js';
import {roleOf} from './role_of_settings.js';
import {ROLE_SCHEMAS} from './role_schemas.js';

/** Result of the validation of several files. */
export interface FilesCheck {
  readonly faults: readonly SettingsFault[];
}

function describeMissingRole(file: string): SettingsFault {
  const message = `is missing or unknown; must be one of ${ROLE_NAMES.join(', ')}`;
  return {file, section: 'process', key: 'role', message};
}

/** Options of the validation of several settings files. */
export interface FilesCheckOptions {
  /** One process runs all the files and has one platform address. */
  readonly sharedPlatform?: boolean;
}

/**
 * @param all parsed settings of the processes of one host
 * @param options whether the files share one process
 * @returns every fault of every file, and faults for addresses and folders that
 *     two processes use
 */
export function checkParsedSettings(
  all: readonly ParsedSettings[],
  {sharedPlatform = false}: FilesCheckOptions = {},
): FilesCheck {
  const faults: SettingsFault[] = [];
  const listens: ListenAddress[] = [];
  const folders: OwnedFolder[] = [];
  for (const parsed of all) {
    const role = roleOf(parsed);
    if (!role) {
      faults.push(...parsed.faults, describeMissingRole(parsed.file));
      continue;
    }
    const check = checkSettings(parsed, ROLE_SCHEMAS[role]);
    if (!check.ok) {
      faults.push(...check.faults);
      continue;
    }
    listens.push(...check.listens);
    folders.push(...check.folders);
  }
  const listensToCompare = sharedPlatform
    ? listens.filter(({section}) => section !== 'platform')
    : listens;
  const folderFaults = findSharedFolders(folders);
  return {
    faults: [...faults, ...findOverlaps(listensToCompare), ...folderFaults],
  };
}

/**
 * @param files paths of settings files of processes of one host
 * @returns every fault of every file, and faults for addresses and folders that
 *     two processes use
 */
export function checkSettingsFiles(files: readonly string[]): FilesCheck {
  return checkParsedSettings(files.map(file => readSettings(file)));
}
