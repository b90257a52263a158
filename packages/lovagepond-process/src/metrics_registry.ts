/**
 * Metrics of one process, rendered by prom-client in its text format.
 *
 * The roles keep the values, and each scrape reads them. The library can
 * therefore be loaded at the first scrape without losing values, so that a
 * process that starts on a slow host serves its first request sooner.
 */
import type * as PromClient from 'prom-client';

/** One value of a metric, with its labels. */
export interface Sample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** A metric whose values are kept elsewhere and are read at each scrape. */
export interface ObservedMetric {
  readonly kind: 'counter' | 'gauge';
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
  /** @returns the current values */
  read(): readonly Sample[];
}

type MetricMaker = (
  library: typeof PromClient,
  options: PromClient.CounterConfiguration<string>,
  metric: ObservedMetric,
) => void;

const MAKERS: Readonly<Record<ObservedMetric['kind'], MetricMaker>> = {
  gauge: (library, options, {read}) => {
    const gauge = new library.Gauge({
      ...options,
      collect() {
        gauge.reset();
        for (const {labels, value} of read()) gauge.set({...labels}, value);
      },
    });
  },
  counter: (library, options, {read}) => {
    const counter = new library.Counter({
      ...options,
      collect() {
        counter.reset();
        for (const {labels, value} of read()) counter.inc({...labels}, value);
      },
    });
  },
};

/** The rendered metrics with their content type. */
export interface RenderedMetrics {
  readonly contentType: string;
  readonly text: string;
}

/** All metrics of one process, with unique names. */
export class MetricsRegistry {
  readonly #labels: Readonly<Record<string, string>>;
  readonly #observed = new Map<string, ObservedMetric>();
  #registry: Promise<PromClient.Registry> | undefined;

  /** @param labels default labels of all metrics, such as role and name */
  constructor(labels: Readonly<Record<string, string>> = {}) {
    this.#labels = labels;
  }

  /**
   * Registers a metric. Must be called before the first scrape.
   *
   * @param metric the metric's name, labels and function to read it
   * @throws when a metric of this name is already registered
   */
  observe(metric: ObservedMetric): void {
    const {name} = metric;
    const isTaken = this.#observed.has(name);
    if (isTaken) throw new Error(`metric ${name} is already registered`);
    this.#observed.set(name, metric);
  }

  /** @returns all metrics in the text format */
  async render(): Promise<RenderedMetrics> {
    this.#registry ??= this.#build();
    const registry = await this.#registry;
    return {
      contentType: registry.contentType,
      text: await registry.metrics(),
    };
  }

  async #build(): Promise<PromClient.Registry> {
    const library = await import('prom-client');
    const registry = new library.Registry();
    registry.setDefaultLabels({...this.#labels});
    for (const metric of this.#observed.values()) {
      const {kind, name, help, labelNames} = metric;
      const options = {
        name,
        help,
        labelNames: [...labelNames],
        registers: [registry],
      };
      MAKERS[kind](library, options, metric);
    }
    return registry;
  }
}
