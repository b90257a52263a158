/**
 * `lovagepond router|sidecar|control|gateway`: runs one role from its settings
 * file.
 */
import {
  checkSettings,
  EXIT_CODE,
  type ExitCode,
  formatFault,
  type ParsedSettings,
  readSettings,
  type SettingsFault,
} from '@lovagepond/process';
import {type RoleName} from './cli_constants.js';
import {type CommonValues, composeRoleProcess} from './composition_root.js';
import {type RoleDefinition} from './role_definition.js';
import {loadRoleDefinition} from './role_loader.js';
import {roleOf} from './role_of_settings.js';

function printFaults(faults: readonly SettingsFault[]): ExitCode {
  process.stderr.write(`${faults.map(formatFault).join('\n')}\n`);
  return EXIT_CODE.SETTINGS;
}

/**
 * Runs a role until a signal ends the process.
 *
 * @param role the role that the command line names
 * @param file path of the settings file
 * @returns the exit code
 */
export async function runRole(role: RoleName, file: string): Promise<ExitCode> {
  const parsed = readSettings(file);
  const declared = roleOf(parsed);
  if (declared !== undefined && declared !== role) {
    const message = `the file is for a ${declared}; run: lovagepond ${declared}`;
    return printFaults([{file, section: 'process', key: 'role', message}]);
  }
  return runDefinition(await loadRoleDefinition(role), parsed);
}

/**
 * Runs a role until a signal ends the process.
 *
 * @param definition a role of this program, or one derived from it
 * @param parsed its parsed settings file
 * @returns the exit code
 */
export async function runDefinition(
  definition: RoleDefinition,
  parsed: ParsedSettings,
): Promise<ExitCode> {
  const {file} = parsed;
  const check = checkSettings(parsed, definition.schema);
  if (!check.ok) return printFaults(check.faults);
  const values = check.values as unknown as CommonValues;
  try {
    return await composeRoleProcess(definition, {file, values}).run();
  } catch (err) {
    process.stderr.write(
      `${definition.name} could not start: ${String(err)}\n`,
    );
    return EXIT_CODE.START;
  }
}
