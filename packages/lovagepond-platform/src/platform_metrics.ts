/**
 * Metrics of one process, in the text format that prom-client writes.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** All metrics of one process, each name made once. */
export class MetricsRegistry {
  readonly #registry = new Registry();

  /** @param labels labels of every metric, such as role and process name */
  constructor(labels: Readonly<Record<string, string>> = {}) {
    this.#registry.setDefaultLabels({...labels});
  }

  /** @returns a counter, which only rises */
  counter(
    name: string,
    help: string,
    labelNames: readonly string[] = [],
  ): Counter {
    return new Counter({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.#registry],
    });
  }

  /**
   * @param collect called at each scrape to set the present value
   * @returns a gauge
   */
  gauge(
    name: string,
    help: string,
    labelNames: readonly string[] = [],
    collect?: (gauge: Gauge) => void,
  ): Gauge {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.#registry],
      ...(collect && {
        collect() {
          collect(gauge);
        },
      }),
    });
    return gauge;
  }

  /**
   * @param buckets upper bounds, in the metric's unit
   * @returns a histogram
   */
  histogram(
    name: string,
    help: string,
    buckets: readonly number[],
    labelNames: readonly string[] = [],
  ): Histogram {
    return new Histogram({
      name,
      help,
      buckets: [...buckets],
      labelNames: [...labelNames],
      registers: [this.#registry],
    });
  }

  /** @returns every metric in the text format */
  render(): Promise<string> {
    return this.#registry.metrics();
  }

  /** The media type of {@link render}. */
  get contentType(): string {
    return this.#registry.contentType;
  }
}
