/**
 * Runs the set of examples/loopback with three control members.
 */
import {
  cpSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll} from 'vitest';
import {Fleet} from '../../../../../scripts/fleet_processes.mjs';

const ONE_MEMBER = 'members = 127.0.0.1:7401';
const MEMBERS = [7401, 7601, 7701];
/** Above the fleet's own limit, whose error names the process that lacks. */
const START_LIMIT_MS = 30_000;

/** @param folder folder that the set is written to */
function writeThreeMembers(folder: string): void {
  cpSync('examples/loopback', folder, {recursive: true});
  const all = MEMBERS.map(port => `127.0.0.1:${port}`).join(', ');
  for (const name of readdirSync(folder).filter(n => n.endsWith('.ini'))) {
    const text = readFileSync(join(folder, name), 'utf8');
    writeFileSync(
      join(folder, name),
      text.replace(ONE_MEMBER, `members = ${all}`),
    );
  }
  const first = readFileSync(join(folder, 'control-1.ini'), 'utf8');
  MEMBERS.slice(1).forEach((port, index) => {
    const name = `control-${index + 2}`;
    const text = first
      .replaceAll('control-1', name)
      .replace('listen = 127.0.0.1:7401', `listen = 127.0.0.1:${port}`)
      .replace('7402', String(port + 1))
      .replace('7403', String(port + 2));
    writeFileSync(join(folder, `${name}.ini`), text);
  });
}

/** @returns processes that run during the tests of the calling block */
export function useThreeMembers(): Fleet {
  const folder = mkdtempSync(join(tmpdir(), 'lovagepond-three-'));
  const fleet = new Fleet();
  beforeAll(async () => {
    writeThreeMembers(folder);
    await fleet.start(folder);
  }, START_LIMIT_MS);
  afterAll(async () => {
    await fleet.end();
    rmSync(folder, {recursive: true});
  });
  return fleet;
}
