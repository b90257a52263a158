/**
 * A router's metrics, through the small part of a metrics registry it needs.
 */
import {type RouterCounts} from './router_counters.js';

/** A value that is set at each scrape. */
export interface MetricsGauge {
  set(labels: Record<string, string>, value: number): void;
}

/** Makes metrics; the platform package's registry is one. */
export interface MetricsSource {
  /** @param collect called at each scrape to set the present value */
  gauge(
    name: string,
    help: string,
    labelNames: readonly string[],
    collect: (gauge: MetricsGauge) => void,
  ): unknown;
}

/** What the metrics show. */
export interface MetricsView {
  counts(): RouterCounts;
  inFlight(): number;
  suspects(): number;
  revision(): number;
  /** Bytes exchanged with control since the start. */
  controlBytes(): number;
  /** Pool to its busiest server's load over the mean. */
  skewByPool(): ReadonlyMap<string, number>;
}

type Plain = readonly [name: string, help: string, read: () => number];

function listPlain(view: MetricsView): readonly Plain[] {
  return [
    ['in_flight', 'Requests in flight.', () => view.inFlight()],
    ['answered', 'Requests answered whole.', () => view.counts().answered],
    [
      'returning',
      'Dispatches of returning chats.',
      () => view.counts().returning,
    ],
    [
      'returning_warm',
      'Dispatches of returning chats to a warm server.',
      () => view.counts().returningWarm,
    ],
    ['hops', 'Pointers and hand-overs followed.', () => view.counts().hops],
    ['retries', 'Retries paid from the budget.', () => view.counts().retries],
    ['probes', 'Probes of suspected servers.', () => view.counts().probes],
    ['suspects', 'Servers under suspicion.', () => view.suspects()],
    ['revision', 'Configuration revision held.', () => view.revision()],
    [
      'control_bytes',
      'Bytes exchanged with control.',
      () => view.controlBytes(),
    ],
  ];
}

/**
 * @param source where the metrics are made
 * @param view what they show
 */
export function registerMetrics(
  source: MetricsSource,
  view: MetricsView,
): void {
  for (const [name, help, read] of listPlain(view)) {
    source.gauge(`lovagepond_router_${name}`, help, [], gauge => {
      gauge.set({}, read());
    });
  }
  const labelled = (
    name: string,
    help: string,
    label: string,
    read: () => Iterable<readonly [string, number]>,
  ): void => {
    source.gauge(`lovagepond_router_${name}`, help, [label], gauge => {
      for (const [key, value] of read()) gauge.set({[label]: key}, value);
    });
  };
  labelled('failed', 'Requests failed, by kind.', 'kind', () =>
    Object.entries(view.counts().failedByKind),
  );
  labelled('dropped', 'Frames dropped, by reason.', 'reason', () =>
    Object.entries(view.counts().droppedByReason),
  );
  labelled('skew', "Busiest server's load over the mean.", 'pool', () =>
    view.skewByPool(),
  );
}
