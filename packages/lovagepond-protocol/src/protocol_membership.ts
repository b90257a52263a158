/**
 * Converts protocol messages to backend servers.
 */
import {
  type BackendServer,
  SERVER_STATE,
  type ServerState,
} from '@lovagepond/core';
import {type lovagepond} from './protocol_services.js';

type WireMember = lovagepond.v1.Member.$Properties;

/** The fields that `Member` and `AnnounceRequest` have in common. */
type WireServer = Pick<
  WireMember,
  | 'backendServer'
  | 'incarnation'
  | 'pool'
  | 'labels'
  | 'availabilityZone'
  | 'region'
  | 'address'
  | 'state'
  | 'capacityTokens'
  | 'models'
>;

const STATES: ReadonlySet<string> = new Set(Object.values(SERVER_STATE));

/** Unknown states map to `joining`, in which a server gets no requests. */
function readState(text: string | null | undefined): ServerState {
  const known = STATES.has(text ?? '');
  return known ? (text as ServerState) : SERVER_STATE.JOINING;
}

/**
 * @param message a decoded member or announcement
 * @returns the backend server, without its slot in the load digest
 */
export function readServer(message: WireServer): Omit<BackendServer, 'slot'> {
  return {
    name: message.backendServer ?? '',
    incarnation: message.incarnation ?? '',
    pool: message.pool ?? '',
    labels: message.labels ?? {},
    availabilityZone: message.availabilityZone ?? '',
    region: message.region ?? '',
    address: message.address ?? '',
    state: readState(message.state),
    capacityTokens: message.capacityTokens ?? 0,
    models: message.models ?? [],
  };
}

/**
 * @param member a decoded member
 * @returns the backend server; `directSlots`, `place` and `warmUp` only without a
 *     sidecar
 */
export function readMember(member: WireMember): BackendServer {
  const directSlots = member.directSlots ?? 0;
  return {
    ...readServer(member),
    slot: member.slot ?? 0,
    ...(directSlots > 0 && {directSlots, place: member.place ?? ''}),
    ...(member.warmingUp && {warmUp: {routers: member.warmUpRouters ?? []}}),
  };
}
