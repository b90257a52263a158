/**
 * Utilities of the consensus measurements.
 */
import {type Disk, type DiskFile, NodeDisk} from '@lovagepond/consensus';

/** A disk that counts the syncs of its files. */
export class CountingDisk extends NodeDisk implements Disk {
  /** Number of syncs so far. */
  syncs = 0;

  override async open(name: string): Promise<DiskFile> {
    const file = await super.open(name);
    return {
      write: (bytes, position) => file.write(bytes, position),
      truncate: length => file.truncate(length),
      close: () => file.close(),
      sync: () => {
        this.syncs += 1;
        return file.sync();
      },
    };
  }
}

/** One point of a series. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/**
 * @param points at least two points with different x
 * @returns slope and intercept of the least-squares line
 */
export function fitLine(points: readonly Point[]): {
  readonly slope: number;
  readonly offset: number;
} {
  const count = points.length;
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / count;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / count;
  let spread = 0;
  let product = 0;
  for (const {x, y} of points) {
    spread += (x - meanX) ** 2;
    product += (x - meanX) * (y - meanY);
  }
  const slope = product / spread;
  return {slope, offset: meanY - slope * meanX};
}

/**
 * @param values numbers in any order
 * @returns the median; 0 without values
 */
export function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
