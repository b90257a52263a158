/**
 * Tables and values as `ctl` prints them.
 */
import {type ConfigurationDifference} from '@lovagepond/control';
import {UsageError} from './ctl_types.js';

const COLUMN_GAP = '  ';

/**
 * @param headings one for each column
 * @param rows cells in the order of the headings
 * @returns aligned lines; the headings alone when there are no rows
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
 * @returns one cell: plain text, `key=value` pairs, or a list with commas
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
 * @param difference one object that differs
 * @returns its lines: the sign and place, then each field that changed
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
 * @param text what an operator typed
 * @param what names it in the error
 * @returns the whole number
 * @throws UsageError when it is none
 */
export function parseCount(text: string, what: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new UsageError(`${what} must be a whole number, not "${text}"`);
  }
  return Number(text);
}

/**
 * @param pairs `key=value` texts
 * @returns the pairs as an object of texts
 * @throws UsageError when one has no `=`
 */
export function parsePairs(pairs: readonly string[]): Record<string, string> {
  const entries = pairs.map(pair => {
    const index = pair.indexOf('=');
    if (index < 1) throw new UsageError(`not key=value: "${pair}"`);
    return [pair.slice(0, index), pair.slice(index + 1)] as const;
  });
  return Object.fromEntries(entries);
}

/**
 * @param text the value of a field as typed: JSON, or plain text
 * @returns the parsed JSON, or the text itself
 */
export function parseFieldValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
