import {readdirSync, readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';

interface Edit {
  readonly file: string;
  readonly find: string;
}

interface Safeguard {
  readonly edits: readonly Edit[];
}

const LISTS = readdirSync('scripts').filter(name =>
  /^safeguards.*\.json$/.test(name),
);

/** @returns the edits whose text doesn't occur exactly once in its file */
function findStaleEdits(list: string): string[] {
  const text = readFileSync(`scripts/${list}`, 'utf8');
  const entries = JSON.parse(text) as Safeguard[];
  return entries
    .flatMap(entry => entry.edits)
    .filter(({file, find}) => {
      const parts = readFileSync(file, 'utf8').split(find);
      return parts.length !== 2;
    })
    .map(({file, find}) => `${file}: ${find}`);
}

describe('the lists of safeguards', () => {
  // Each entry shows that a test fails without its safeguard. When a change to
  // the source leaves an entry with outdated text, its test is no longer
  // checked, without an error, as happened to three entries.
  it.each(LISTS)('%s matches the source exactly once for each edit', list => {
    expect(findStaleEdits(list)).toEqual([]);
  });
});
