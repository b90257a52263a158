/**
 * `lovagepond router|sidecar|control`: runs one role from its settings file.
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
 * @param role the role named on the command line
 * @param file path of its settings file
 * @returns the exit code, once a signal has ended the process
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
 * @param definition a role of the product, or one made from it
 * @param parsed its settings file
 * @returns the exit code, once a signal has ended the process
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
