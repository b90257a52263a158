/**
 * Reads protocol messages into control's own types.
 */
import {
  type BackendServer,
  SERVER_STATE,
  type ServerState,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type MembershipChange} from './membership_log.js';
import {type Announcement, type LoadReport} from './membership_registry.js';

type WireMember = lovagepond.v1.Member.$Properties;
type WireAnnounce = lovagepond.v1.AnnounceRequest.$Properties;

const STATES: ReadonlySet<string> = new Set(Object.values(SERVER_STATE));

/** A state that this version doesn't know gets no work. */
function readState(text: string | null | undefined): ServerState {
  const known = STATES.has(text ?? '');
  return known ? (text as ServerState) : SERVER_STATE.JOINING;
}

/**
 * @param req an announcement as it was decoded
 * @returns the announcement
 */
export function readAnnouncement(req: WireAnnounce): Announcement {
  return {
    name: req.backendServer ?? '',
    incarnation: req.incarnation ?? '',
    pool: req.pool ?? '',
    labels: req.labels ?? {},
    availabilityZone: req.availabilityZone ?? '',
    region: req.region ?? '',
    address: req.address ?? '',
    state: readState(req.state),
    runningTokens: req.runningTokens ?? 0,
    queuedTokens: req.queuedTokens ?? 0,
    capacityTokens: req.capacityTokens ?? 0,
    models: req.models ?? [],
  };
}

function readMember(member: WireMember): BackendServer {
  return {
    name: member.backendServer ?? '',
    incarnation: member.incarnation ?? '',
    pool: member.pool ?? '',
    labels: member.labels ?? {},
    availabilityZone: member.availabilityZone ?? '',
    region: member.region ?? '',
    address: member.address ?? '',
    state: readState(member.state),
    capacityTokens: member.capacityTokens ?? 0,
    models: member.models ?? [],
    slot: member.slot ?? 0,
  };
}

/**
 * @param update a membership update as it was decoded
 * @returns the change
 */
export function readMembership(
  update: lovagepond.v1.MembershipUpdate.$Properties,
): MembershipChange {
  return {
    version: update.version ?? 0,
    whole: update.whole ?? false,
    members: (update.members ?? []).map(readMember),
    gone: update.gone ?? [],
  };
}

/**
 * @param digest a load digest as it was decoded
 * @returns the report
 */
export function readLoad(
  digest: lovagepond.v1.LoadDigest.$Properties,
): LoadReport {
  return {
    membershipVersion: digest.membershipVersion ?? 0,
    loads: digest.loads ?? new Uint8Array(),
    ageMs: digest.ageMs ?? 0,
  };
}
