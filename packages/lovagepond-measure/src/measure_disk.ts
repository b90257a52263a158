/**
 * Disk access for measurements: a temporary folder, and the rate of appends
 * with sync as a baseline for the disk alone.
 */
import {mkdtemp, open, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/**
 * @param run receives the path of a folder that is removed afterwards
 * @returns the result of `run`
 */
export async function withTemporaryFolder<Value>(
  run: (folder: string) => Promise<Value>,
): Promise<Value> {
  const folder = await mkdtemp(join(tmpdir(), 'lovagepond-measure-'));
  try {
    return await run(folder);
  } finally {
    await rm(folder, {recursive: true});
  }
}

/**
 * @param path a file to write
 * @param bytes size of each append; rounded, at least 1
 * @param runMs duration, milliseconds
 * @returns appends a second, each followed by a sync
 */
export async function measureBareAppends(
  path: string,
  bytes: number,
  runMs: number,
): Promise<number> {
  const handle = await open(path, 'w');
  const block = Buffer.alloc(Math.max(1, Math.round(bytes)), 1);
  const started = performance.now();
  let count = 0;
  while (performance.now() - started < runMs) {
    await handle.write(block);
    await handle.datasync();
    count += 1;
  }
  const seconds = (performance.now() - started) / 1000;
  await handle.close();
  return count / seconds;
}
