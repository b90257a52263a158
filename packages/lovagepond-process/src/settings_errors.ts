/**
 * Faults in settings files, each with its place.
 */

/** One fault, with its place and the expected value. */
export interface SettingsFault {
  readonly file: string;
  /** Empty for a fault of the file as a whole. */
  readonly section: string;
  /** Empty for a fault of the section as a whole. */
  readonly key: string;
  readonly message: string;
}

/** Thrown when a process can't start because its settings are invalid. */
export class SettingsError extends Error {
  readonly faults: readonly SettingsFault[];

  constructor(faults: readonly SettingsFault[]) {
    super(faults.map(formatFault).join('\n'));
    this.name = 'SettingsError';
    this.faults = faults;
  }
}

/**
 * @param fault the fault to format
 * @returns one line: file, section, key and message
 */
export function formatFault(fault: SettingsFault): string {
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  return `${fault.file}:${section}${key}: ${fault.message}`;
}
