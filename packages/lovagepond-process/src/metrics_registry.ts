/**
 * Metrics of one process, in the text format that prom-client writes.
 *
 * Values are kept by the roles and read at each scrape, so the library is loaded
 * by the first scrape: nothing is lost meanwhile, and a process that starts on a
 * slow host serves its first request sooner.
 */
import type * as PromClient from 'prom-client';

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

/** The registry's text and how to name its format. */
export interface RenderedMetrics {
  readonly contentType: string;
  readonly text: string;
}

/** All metrics of one process, each name made once. */
export class MetricsRegistry {
  readonly #labels: Readonly<Record<string, string>>;
  readonly #observed = new Map<string, ObservedMetric>();
  #registry: Promise<PromClient.Registry> | undefined;

  /** @param labels labels of every metric, such as role and process name */
  constructor(labels: Readonly<Record<string, string>> = {}) {
    this.#labels = labels;
  }

  /**
   * Adds a metric whose values a role keeps by itself, before the first scrape.
   *
   * @param metric how to name and read it
   * @throws when the name is taken
   */
  observe(metric: ObservedMetric): void {
    const {name} = metric;
    const isTaken = this.#observed.has(name);
    if (isTaken) throw new Error(`metric ${name} stands twice`);
    this.#observed.set(name, metric);
  }

  /** @returns every metric in the text format */
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
