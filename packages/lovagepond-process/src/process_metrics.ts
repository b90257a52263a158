/**
 * Memory and CPU metrics of the process, read at each scrape.
 */
import {type MetricsRegistry} from './metrics_registry.js';

const MICROSECONDS = 1_000_000;

/** @param metrics the registry to add the metrics to */
export function registerProcessMetrics(metrics: MetricsRegistry): void {
  metrics.observe({
    kind: 'gauge',
    name: 'process_resident_memory_bytes',
    help: 'Resident memory of the process.',
    labelNames: [],
    read: () => [{labels: {}, value: process.memoryUsage.rss()}],
  });
  metrics.observe({
    kind: 'counter',
    name: 'process_cpu_seconds_total',
    help: 'Processor time of the process since its start.',
    labelNames: [],
    read: () => {
      const {user, system} = process.cpuUsage();
      return [{labels: {}, value: (user + system) / MICROSECONDS}];
    },
  });
}
