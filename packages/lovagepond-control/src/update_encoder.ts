/**
 * Encodes updates to subscribers, each distinct update once for all of them.
 */
import {
  type BackendServer,
  type Configuration,
  encodeConfiguration,
  encodeDelta,
  makeDelta,
} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {toQuarantineUpdate} from './crash_report_codec.js';
import {type MembershipChange} from './membership_log.js';
import {
  type PoolDemand,
  type ReadingReport,
  type RunningRequests,
} from './reading_report_log.js';
import {type FeedUpdate} from './subscription_feed.js';
import {toUint32} from './wire_utils.js';
import {type OthersDemand} from './workspace_demand_feed.js';

const {v1} = lovagepond;

type WireUpdate = lovagepond.v1.ControlUpdate.$Properties;

/** Encodes updates, and caches the bytes as long as the content exists. */
export class UpdateEncoder {
  readonly #encoded = new WeakMap<object, Map<string, Buffer>>();

  /**
   * @param update an update
   * @returns the bytes of its ControlUpdate message
   */
  encode(update: FeedUpdate): Buffer {
    const content = contentOf(update);
    if (!content) return encodeMessage(toWire(update));
    const variants = this.#encoded.get(content) ?? new Map<string, Buffer>();
    this.#encoded.set(content, variants);
    const variant = variantOf(update);
    const known = variants.get(variant);
    if (known) return known;
    const bytes = encodeMessage(toWire(update));
    variants.set(variant, bytes);
    return bytes;
  }
}

const CONVERTERS: {
  readonly [Kind in FeedUpdate['kind']]: (
    update: Extract<FeedUpdate, {kind: Kind}>,
  ) => WireUpdate;
} = {
  configuration: ({configuration, withContent, confirmed, base}) => ({
    configuration: {
      revision: configuration.revision,
      ...(withContent && encodeContent(configuration, base)),
      majorityConfirmed: confirmed,
    },
  }),
  quarantine: ({suspects}) => ({
    quarantine: toQuarantineUpdate(suspects),
  }),
  membership: ({change}) => ({membership: toWireMembership(change)}),
  load: ({load}) => ({
    load: {
      membershipVersion: load.membershipVersion,
      loads: load.loads,
      ageMs: Math.round(load.ageMs),
    },
  }),
  readings: ({reports, routers, demand}) => ({
    readings: toWireDigest(reports, routers, demand),
  }),
  controlMembers: ({addresses, goOn}) => ({
    controlMembers: {addresses: [...addresses], goOn},
  }),
  streamPeers: ({whole, peers, gone}) => ({
    streamPeers: {
      whole,
      peers: peers.map(([node, address]) => ({node, address})),
      gone: [...gone],
    },
  }),
  heartbeat: ({revision, contactAgeMs}) => ({
    heartbeat: {revision, contactAgeMs: toUint32(Math.round(contactAgeMs))},
  }),
};

/**
 * @param reports reports of routers
 * @param routers for a router, the number of other routers
 * @param demand for a router, the demand of the other routers
 * @returns the protocol message
 */
export function toWireDigest(
  reports: readonly ReadingReport[],
  routers = 0,
  demand: readonly OthersDemand[] = [],
): lovagepond.v1.ReadingDigest.$Properties {
  return {
    routers,
    reports: reports.map(report => ({
      node: report.node,
      readings: [...report.readings],
      running: report.running.map(toWireRunning),
      ...(report.demand && {demand: report.demand.map(toWireDemand)}),
      ...(report.streamAddress && {streamAddress: report.streamAddress}),
    })),
    ...(demand.length > 0 && {demand: demand.map(toWireDemand)}),
  };
}

/** Most servers have no pending prompts, and a 0 would take two bytes. */
function toWireRunning({
  prefillTokens,
  ...counts
}: RunningRequests): lovagepond.v1.RunningRequests.$Properties {
  if (prefillTokens <= 0) return counts;
  return {...counts, prefillTokens: toUint32(prefillTokens)};
}

function toWireDemand(
  demand: PoolDemand | OthersDemand,
): lovagepond.v1.PoolDemand.$Properties {
  return {...demand, workspaces: [...demand.workspaces]};
}

function toWire(update: FeedUpdate): WireUpdate {
  return CONVERTERS[update.kind](update as never);
}

function encodeContent(
  configuration: Configuration,
  base: Configuration | undefined,
): Pick<
  lovagepond.v1.ConfigurationUpdate.$Properties,
  'configuration' | 'delta'
> {
  const delta = base && makeDelta(base, configuration);
  if (delta) return {delta: encodeDelta(delta)};
  return {configuration: encodeConfiguration(configuration)};
}

function contentOf(update: FeedUpdate): object | undefined {
  if (update.kind === 'configuration') return update.configuration;
  if (update.kind === 'membership') return update.change;
  if (update.kind === 'readings') return update.reports;
  return update.kind === 'load' ? update.load : undefined;
}

function variantOf(update: FeedUpdate): string {
  if (update.kind !== 'configuration') return '';
  const {withContent, confirmed, base} = update;
  return `${withContent} ${confirmed} ${base?.revision ?? ''}`;
}

function encodeMessage(update: WireUpdate): Buffer {
  return Buffer.from(v1.ControlUpdate.encode(update).finish());
}

function toWireMembership(
  change: MembershipChange,
): lovagepond.v1.MembershipUpdate.$Properties {
  return {
    version: change.version,
    whole: change.whole,
    wholeDirect: change.wholeDirect,
    members: change.members.map(toWireMember),
    gone: [...change.gone],
  };
}

function toWireMember(server: BackendServer): lovagepond.v1.Member.$Properties {
  const {name, labels, models, warmUp, ...rest} = server;
  return {
    ...rest,
    ...(warmUp && {warmingUp: true, warmUpRouters: [...warmUp.routers]}),
    backendServer: name,
    labels: {...labels},
    models: [...models],
  };
}
