/**
 * One backend server in control's registry: what it announced, and how that
 * becomes the server that subscribers get.
 */
import {
  type BackendServer,
  SERVER_STATE,
  type ServerState,
} from '@lovagepond/core';
import {WANTED_STATE, type WantedState} from './control_administration.js';
import {type PoolShare} from './pool_means.js';

/** An announcement, sent by or for a backend server about once a second. */
export interface Announcement extends Omit<BackendServer, 'slot'> {
  readonly runningTokens: number;
  readonly queuedTokens: number;
}

/** A server in the registry. */
export interface ServerRecord {
  server: BackendServer;
  announcedState: ServerState;
  runningTokens: number;
  queuedTokens: number;
  renewedAt: number;
  held: boolean;
  /** False until the server has announced itself to this leader. */
  hasAnnounced: boolean;
  /** The server's contribution to its pool's mean; undefined unless ready. */
  share: PoolShare | undefined;
}

/**
 * @param record a server
 * @returns true if its lease may expire at any time, as it is about to stop
 */
export function isDraining(record: ServerRecord): boolean {
  return record.server.state === SERVER_STATE.DRAINING;
}

/**
 * A flap is a join, a restart, or a change from ready back to joining.
 *
 * @param known the server as it is in the registry, if it is
 * @param announcement its announcement
 * @returns true if the announcement is a flap
 */
export function isFlap(
  known: ServerRecord | undefined,
  announcement: Announcement,
): boolean {
  if (!known?.hasAnnounced) return known === undefined;
  if (known.server.incarnation !== announcement.incarnation) return true;
  const wasReady = known.announcedState === SERVER_STATE.READY;
  return wasReady && announcement.state === SERVER_STATE.JOINING;
}

/**
 * @param announced the state that the server announces
 * @param wanted the state that operators request
 * @param held whether flap damping holds the server back
 * @returns the state that subscribers get
 */
export function decideState(
  announced: ServerState,
  wanted: WantedState,
  held: boolean,
): ServerState {
  if (wanted === WANTED_STATE.DRAINING) return SERVER_STATE.DRAINING;
  if (announced === SERVER_STATE.DRAINING) return SERVER_STATE.DRAINING;
  return held ? SERVER_STATE.JOINING : announced;
}

/**
 * @param announcement the server's announcement
 * @param state the state that subscribers get
 * @param slot its position in the load digest
 * @returns the server as subscribers get it
 */
export function toBackendServer(
  announcement: Announcement,
  state: ServerState,
  slot: number,
): BackendServer {
  return {
    name: announcement.name,
    incarnation: announcement.incarnation,
    pool: announcement.pool,
    labels: announcement.labels,
    availabilityZone: announcement.availabilityZone,
    region: announcement.region,
    address: announcement.address,
    state,
    capacityTokens: announcement.capacityTokens,
    models: announcement.models,
    slot,
    ...(announcement.directSlots && {
      directSlots: announcement.directSlots,
      place: announcement.place ?? '',
    }),
    ...(announcement.warmUp && {warmUp: announcement.warmUp}),
  };
}
