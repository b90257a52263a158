/**
 * Which role a settings file is for.
 */
import {type ParsedSettings} from '@lovagepond/process';
import {ROLE_NAMES, type RoleName} from './cli_constants.js';

/**
 * @param parsed a settings file
 * @returns the role it is for, or undefined when it names none
 */
export function roleOf(parsed: ParsedSettings): RoleName | undefined {
  const role = parsed.sections['process']?.['role'];
  return ROLE_NAMES.find(name => name === role);
}
