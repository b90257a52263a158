/**
 * Metrics of one process, in the text format that prom-client writes.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** One value of a metric, with its labels. */
export interface Sample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** A metric whose values are kept elsewhere and read at each scrape. */
export interface ObservedMetric {
  readonly kind: 'counter' | 'gauge';
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
  /** @returns the present values */
  read(): readonly Sample[];
}

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

  /**
   * Adds a metric whose values a role keeps by itself.
   *
   * @param metric how to name and read it
   */
  observe({kind, name, help, labelNames, read}: ObservedMetric): void {
    const options = {
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.#registry],
    };
    if (kind === 'gauge') {
      const gauge: Gauge = new Gauge({
        ...options,
        collect() {
          gauge.reset();
          for (const {labels, value} of read()) gauge.set({...labels}, value);
        },
      });
      return;
    }
    const counter: Counter = new Counter({
      ...options,
      collect() {
        counter.reset();
        for (const {labels, value} of read()) counter.inc({...labels}, value);
      },
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
