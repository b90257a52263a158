/**
 * Measures the heap that a value retains after a full garbage collection.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** A value and the memory that it retains. */
export interface HeapMeasurement<Value> {
  readonly value: Value;
  /** Bytes on the heap and in external buffers. */
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
 * @param make creates the value
 * @returns the value and the bytes that it retains
 */
export function measureHeap<Value>(make: () => Value): HeapMeasurement<Value> {
  const before = usedBytes();
  const value = make();
  return {value, bytes: usedBytes() - before};
}
