/**
 * Control traffic of one sidecar in bytes per second, by the size of its pool.
 */
import {lovagepond} from '@lovagepond/protocol';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const {v1} = lovagepond;

const POOL_SIZES = [6, 64, 640] as const;
/** Length and compression flag in front of each gRPC message. */
const GRPC_PREFIX_BYTES = 5;
/** Servers of a pool that are replaced or restarted in a day. */
const REPLACED_A_DAY = 130;
/** Configuration changes in a day. */
const CHANGES_A_DAY = 1_300;
const CONFIGURATION_BYTES = 64 * 1_024;
const SECONDS_A_DAY = 86_400;

/** Fields that an announcement and an entry of the membership list share. */
const SERVER = {
  backendServer: 'engine-muc-freimann-12',
  incarnation: 'lq2x1ab4-1x9k2f3',
  pool: 'offer-drafting',
  labels: {tier: 'gold', accelerator: 'large'},
  availabilityZone: 'muc-freimann',
  region: 'bayern-sued',
  address: '192.168.100.101:7001',
  state: 'ready',
  capacityTokens: 262_144,
  models: ['offer-drafter-7b'],
};

interface Codec<Message> {
  encode(message: Message): {finish(): Uint8Array};
}

function sizeOf<Message>(codec: Codec<Message>, message: Message): number {
  return codec.encode(message).finish().length + GRPC_PREFIX_BYTES;
}

function announcementBytes(): number {
  const request = sizeOf(
    v1.AnnounceRequest,
    new v1.AnnounceRequest({
      ...SERVER,
      runningTokens: 200_000,
      queuedTokens: 50_000,
      revision: 12_000,
      role: 'sidecar',
      fencingFloor: 2 ** 30,
    }),
  );
  const response = sizeOf(
    v1.AnnounceResponse,
    new v1.AnnounceResponse({
      accepted: true,
      leaseMs: 3_000,
      poolMeanTokens: 123_456.7,
      poolMeanRunningTokens: 100_000.1,
      poolMeanAgeMs: 500,
      revision: 12_000,
      wantedState: 'ready',
      poolReadyServers: 64,
      fencingFloor: 2 ** 30,
      fencingFloorKnown: true,
    }),
  );
  return request + response;
}

function memberBytes(): number {
  return sizeOf(
    v1.Member,
    new v1.Member({
      ...SERVER,
      slot: 600,
    }),
  );
}

function measurePool(size: number): (string | number)[] {
  const loads = new Uint8Array(size);
  const digest = sizeOf(
    v1.ControlUpdate,
    new v1.ControlUpdate({
      load: new v1.LoadDigest({membershipVersion: 1_000, loads, ageMs: 500}),
    }),
  );
  // A replacement changes the list three times: a server joins, becomes ready,
  // and the former one is removed.
  const churnADay = Math.min(REPLACED_A_DAY, size) * 3 * memberBytes();
  const changesADay = CHANGES_A_DAY * CONFIGURATION_BYTES;
  const announcement = announcementBytes();
  const churn = churnADay / SECONDS_A_DAY;
  const changes = changesADay / SECONDS_A_DAY;
  return [
    size,
    announcement,
    digest,
    roundTo(churn, 1),
    roundTo(changes, 0),
    Math.round(announcement + digest + churn + changes),
  ];
}

/** @returns a table of the bytes per second between a sidecar and control */
export function measureSidecarControl(): MeasureSection {
  return {
    title: 'Sidecar: control traffic, bytes a second',
    columns: [
      'servers in its pool',
      'announcement and answer',
      'load digest',
      'churn',
      'configuration changes',
      'sum',
    ],
    rows: POOL_SIZES.map(measurePool),
    notes: [
      'Encoded messages with the gRPC prefix, without HTTP/2 frames and',
      'headers. Announcement and digest once a second.',
      `${REPLACED_A_DAY} servers replaced and ${CHANGES_A_DAY} changes a day,` +
        ` a configuration of ${CONFIGURATION_BYTES} bytes sent whole.`,
    ],
  };
}
