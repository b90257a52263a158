/**
 * One line of a process's log.
 */

/** What a line says. */
export interface LogLine {
  /** Wall-clock milliseconds of the process that wrote it. */
  readonly timeMs: number;
  /** Name of the process's node, and its role: a host runs several. */
  readonly process: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * @param text a line; a collector may have put its own words before the JSON
 * @returns what it says, or undefined when no process of ours wrote it
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
 * @param value a field
 * @returns it as text; empty when it is absent or no plain value
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
