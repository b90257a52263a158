/**
 * Renders state dumps: bounded in size, with secrets redacted.
 */
import {type StateDump} from '@lovagepond/core';

/** Largest size of a dump's JSON, bytes. */
export const MAX_DUMP_BYTES = 1_048_576;

const MAX_ITEMS = 4_096;
const MAX_TEXT = 512;
const MAX_DEPTH = 12;
const REDACTED = '[redacted]';
const SECRET_KEY =
  /^(body|answer|prompt|authorization|password|secret|token|apiKey)$|(Secret|Password|Credential|(access|auth|bearer|admin)Token)s?$/i;

function pruneEntries(
  entries: readonly (readonly [string, unknown])[],
  maxItems: number,
  depth: number,
): Record<string, unknown> {
  const kept = entries.slice(0, maxItems).map(([key, value]) => {
    const safe = SECRET_KEY.test(key)
      ? REDACTED
      : prune(value, maxItems, depth + 1);
    return [key, safe] as const;
  });
  const pruned = Object.fromEntries(kept);
  if (entries.length > maxItems) pruned['omitted'] = entries.length - maxItems;
  return pruned;
}

function prune(value: unknown, maxItems: number, depth: number): unknown {
  if (typeof value === 'bigint') return value.toString();
  if (typeof value === 'string') return value.slice(0, MAX_TEXT);
  if (typeof value !== 'object' || value === null) return value;
  if (depth >= MAX_DEPTH) return '[too deep]';
  if (ArrayBuffer.isView(value)) return `[${value.byteLength} bytes]`;
  if (value instanceof Set) return prune([...value], maxItems, depth);
  if (value instanceof Map) {
    const entries = [...value].map(
      ([key, item]) => [String(key), item] as const,
    );
    return pruneEntries(entries, maxItems, depth);
  }
  if (!Array.isArray(value)) {
    return pruneEntries(Object.entries(value), maxItems, depth);
  }
  const kept = value.slice(0, maxItems);
  const pruned = kept.map(item => prune(item, maxItems, depth + 1));
  const omitted = value.length - kept.length;
  return omitted > 0 ? [...pruned, {omitted}] : pruned;
}

/**
 * @param dump a role's state
 * @param maxBytes largest size of the result, bytes
 * @returns JSON with redacted secrets and truncated lists, each with the number
 *     of omitted items as `omitted`
 */
export function renderDump(
  dump: StateDump,
  maxBytes: number = MAX_DUMP_BYTES,
): string {
  for (let maxItems = MAX_ITEMS; maxItems >= 1; maxItems /= 2) {
    const text = JSON.stringify(prune(dump, maxItems, 0), undefined, 2);
    if (Buffer.byteLength(text) <= maxBytes) return text;
  }
  const {version, role} = dump;
  return JSON.stringify({version, role, state: {omitted: 'all'}});
}
