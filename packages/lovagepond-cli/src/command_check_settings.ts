/**
 * `lovagepond check-settings`: validates settings files without starting a
 * role.
 */
import {EXIT_CODE, type ExitCode, formatFault} from '@lovagepond/process';
import {checkSettingsFiles} from './check_settings_files.js';

/**
 * @param files paths of settings files
 * @param json prints JSON instead of lines
 * @returns the exit code
 */
export function runCheckSettings(
  files: readonly string[],
  json: boolean,
): ExitCode {
  const {faults} = checkSettingsFiles(files);
  const ok = faults.length === 0;
  const lines = ok
    ? [`${files.length} settings file(s) without a fault`]
    : faults.map(formatFault);
  const text = json ? JSON.stringify({ok, faults}) : lines.join('\n');
  process.stdout.write(`${text}\n`);
  return ok ? EXIT_CODE.OK : EXIT_CODE.SETTINGS;
}
