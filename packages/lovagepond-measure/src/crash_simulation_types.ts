/**
 * The requests, servers and gateways of a simulation of crashing requests.
 */
import {
  type BackendServer,
  type RequestSubjects,
  SERVER_STATE,
} from '@lovagepond/core';
import {
  type GatewayCrashDetector,
  type ServerState,
} from '@lovagepond/gateway/deciders';
import {type RequestQuarantine} from '@lovagepond/router/quarantine';

const FINGERPRINT_BYTES = 16;

export interface Request {
  readonly subjects: RequestSubjects;
  readonly isCrashing: boolean;
  readonly retries: number;
}

export interface Run {
  readonly request: Request;
  readonly gateway: Gateway;
  readonly isSecond: boolean;
  isOver: boolean;
}

export interface Server {
  readonly state: ServerState;
  readonly runs: Set<Run>;
  isUp: boolean;
}

export interface Gateway {
  readonly quarantine: RequestQuarantine;
  readonly detector: GatewayCrashDetector;
}

/** @returns a ready server */
export function makeServer(name: string): BackendServer {
  return {
    name,
    incarnation: name,
    pool: 'p',
    labels: {},
    availabilityZone: 'z',
    region: 'r',
    address: `${name}:1`,
    state: SERVER_STATE.READY,
    capacityTokens: 0,
    models: [],
    slot: 0,
    directSlots: 64,
    place: name,
  };
}

/** @returns 16 bytes in hexadecimal, one value for each short content */
export function toFingerprint(content: string): string {
  return Buffer.from(content.padEnd(FINGERPRINT_BYTES)).toString('hex');
}
