/**
 * Parses one line of a process's log.
 */

/** One parsed log line. */
export interface LogLine {
  /** Wall clock of the process that wrote the line, milliseconds. */
  readonly timeMs: number;
  /** `name/role`, as processes with different roles may share a name. */
  readonly process: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * @param text a line; a log collector may have put a prefix before the JSON
 * @returns the parsed line, or undefined for lines of other programs
 */
export function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{"context"');
  if (start < 0) return undefined;
  const raw = parseObject(text.slice(start));
  const fields = raw?.['context'] as LogLine['fields'] | undefined;
  const {message, time} = raw ?? {};
  if (typeof message !== 'string' || typeof time !== 'number') return undefined;
  if (typeof fields !== 'object') return undefined;
  const name = `${formatValue(fields['name'])}/${formatValue(fields['role'])}`;
  return {timeMs: time, process: name, message, fields};
}

/**
 * @param value value of a log field
 * @returns the string or number as text; empty for any other value
 */
export function formatValue(value: unknown): string {
  if (typeof value === 'string') return value;
  return typeof value === 'number' ? String(value) : '';
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
