/**
 * Applies control's membership updates to the list a router holds.
 */
import {
  type BackendServer,
  type Membership,
  SERVER_STATE,
  type ServerState,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';

type WireMember = lovagepond.v1.Member.$Properties;
type WireUpdate = lovagepond.v1.MembershipUpdate.$Properties;

const STATES: ReadonlySet<string> = new Set(Object.values(SERVER_STATE));

/** A state that this version doesn't know gets no work. */
function readState(text: string): ServerState {
  return STATES.has(text) ? (text as ServerState) : SERVER_STATE.JOINING;
}

function readMember(member: WireMember): BackendServer {
  return Object.freeze({
    name: member.backendServer ?? '',
    incarnation: member.incarnation ?? '',
    pool: member.pool ?? '',
    labels: member.labels ?? {},
    availabilityZone: member.availabilityZone ?? '',
    region: member.region ?? '',
    address: member.address ?? '',
    state: readState(member.state ?? ''),
    capacityTokens: member.capacityTokens ?? 0,
    models: member.models ?? [],
    slot: member.slot ?? 0,
  });
}

/**
 * @param current the list held
 * @param update control's update, whole or against the version before
 * @returns the next list
 */
export function applyMembership(
  current: Membership,
  update: WireUpdate,
): Membership {
  const servers = new Map(update.whole ? [] : current.servers);
  for (const name of update.gone ?? []) servers.delete(name);
  for (const wire of update.members ?? []) {
    const server = readMember(wire);
    servers.set(server.name, server);
  }
  return Object.freeze({version: update.version ?? 0, servers});
}
