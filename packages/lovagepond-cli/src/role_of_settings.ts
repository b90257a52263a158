/**
 * Finds the role that a settings file is for.
 */
import {type ParsedSettings} from '@lovagepond/process';
import {ROLE_NAMES, type RoleName} from './cli_constants.js';

/**
 * @param parsed a parsed settings file
 * @returns the role that the file names, or undefined when it names no known
 *     one
 */
export function roleOf(parsed: ParsedSettings): RoleName | undefined {
  const role = parsed.sections['process']?.['role'];
  return ROLE_NAMES.find(name => name === role);
}
