/**
 * Heap that something keeps, after a full collection.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** What was made, and what it keeps on the heap. */
export interface HeapMeasurement<Value> {
  readonly value: Value;
  /** Bytes, of buffers too. */
  readonly bytes: number;
}

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
}

function usedBytes(): number {
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/**
 * @param make makes what is measured
 * @returns it, with the bytes that it keeps
 */
export function measureHeap<Value>(make: () => Value): HeapMeasurement<Value> {
  const before = usedBytes();
  const value = make();
  return {value, bytes: usedBytes() - before};
}
