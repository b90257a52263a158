/**
 * Formats tables and values for `ctl` and parses its arguments.
 */
import {type ConfigurationDifference} from '@lovagepond/control';
import {UsageError} from './ctl_types.js';

const COLUMN_GAP = '  ';

/**
 * @param headings the heading of each column
 * @param rows cells in the order of the headings
 * @returns aligned lines; only the headings when there are no rows
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string[] {
  const cells = [headings, ...rows].map(row => row.map(formatCell));
  const widths = headings.map((_, column) =>
    Math.max(...cells.map(row => row[column]?.length ?? 0)),
  );
  return cells.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}

/**
 * @param value any JSON value
 * @returns the cell: plain text, `key=value` pairs, or a comma-separated list
 */
function formatCell(value: unknown): string {
  if (value === undefined || value === null || value === '') return '-';
  if (Array.isArray(value)) return value.map(formatCell).join(',') || '-';
  if (typeof value !== 'object') return String(value);
  const pairs = Object.entries(value).map(
    ([key, part]) => `${key}=${formatCell(part)}`,
  );
  return pairs.join(',') || '-';
}

const DIFFERENCE_SIGNS = {added: '+', removed: '-', changed: '~'} as const;

/**
 * @param difference the difference of one object
 * @returns lines for people: sign and place, then each changed field
 */
export function formatDifference(
  difference: ConfigurationDifference,
): string[] {
  const {kind, place} = difference;
  const before = fieldsOf(difference.before);
  const after = fieldsOf(difference.after);
  const fields = [...new Set([...before.keys(), ...after.keys()])];
  const changed = fields.filter(
    field => formatCell(before.get(field)) !== formatCell(after.get(field)),
  );
  return [
    `${DIFFERENCE_SIGNS[kind]} ${place}`,
    ...changed.map(field => {
      const from = formatCell(before.get(field));
      return `    ${field}: ${from} -> ${formatCell(after.get(field))}`;
    }),
  ];
}

function fieldsOf(value: unknown): ReadonlyMap<string, unknown> {
  if (typeof value !== 'object' || value === null) return new Map();
  return new Map(Object.entries(value));
}

/**
 * @param text an argument of the command line
 * @param what name of the argument for the error message
 * @returns the number
 * @throws UsageError when the text is not a whole number of up to 15 digits
 */
export function parseCount(text: string, what: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new UsageError(`${what} must be a whole number, not "${text}"`);
  }
  return Number(text);
}

/**
 * @param pairs `key=value` arguments
 * @returns the values by key
 * @throws UsageError when an argument has no key or no `=`
 */
export function parsePairs(pairs: readonly string[]): Record<string, string> {
  const entries = pairs.map(pair => {
    const index = pair.indexOf('=');
    if (index < 1) throw new UsageError(`not in the form key=value: "${pair}"`);
    return [pair.slice(0, index), pair.slice(index + 1)] as const;
  });
  return Object.fromEntries(entries);
}

/**
 * @param text the value of a field: JSON or plain text
 * @returns the parsed JSON, or the text when it is not JSON
 */
export function parseFieldValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
