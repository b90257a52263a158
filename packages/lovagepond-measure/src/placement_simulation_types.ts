/**
 * What a run is made of: the variant that is measured, the deployment, and
 * what its parts pass to each other.
 */
import {type ErrorKind} from '@lovagepond/core';
import {type PlacementSettings} from '@lovagepond/router';
import {type Arrival} from './placement_workload.js';
import {type SimulatedEngineSettings} from './simulated_engine.js';

/** One way to serve, measured beside others. */
export interface PlacementVariant {
  readonly name: string;
  /** A policy of the table, or the reference that knows all. */
  readonly policy: string;
  /** Sidecars enforce the bound and hold what doesn't fit. */
  readonly gated: boolean;
  /** Chats served elsewhere leave pointers. */
  readonly pointers: boolean;
  /** Sidecars with room take held requests. */
  readonly take: boolean;
  /** A planned leave moves the warmest chats' KV caches. */
  readonly moveCache: boolean;
  /** Lists, loads and caches are known at once and exactly. */
  readonly exact: boolean;
}

/** The deployment and what is wrong with it. */
export interface PlacementSimulationSettings {
  readonly seed: number;
  readonly endMs: number;
  /** What comes or lasts before this time is not counted. */
  readonly warmUpMs: number;
  readonly servers: number;
  readonly routers: number;
  readonly engine: SimulatedEngineSettings;
  /** Load of an engine that counts as no skew, tokens. */
  readonly floorTokens: number;
  readonly pool: PlacementSettings;
  /** Time between two replacements of a server; 0 means none. */
  readonly replaceEveryMs: number;
  /** Time between two servers that control loses for seconds; 0 means none. */
  readonly flapEveryMs: number;
  /** Most time until a router learns of a change of the list. */
  readonly maxListLagMs: number;
}

/** One attempt of a request at one sidecar. */
export interface Attempt {
  readonly attemptId: string;
  readonly arrival: Arrival;
  readonly firstChoice: string;
  readonly warmCandidates: readonly string[];
  readonly handOvers: number;
  readonly owner: AttemptOwner;
  /** The first token has reached the caller. */
  streaming: boolean;
}

/** The router's side of an attempt. */
export interface AttemptOwner {
  refused(attempt: Attempt, kind: ErrorKind, pointer: string): void;
  firstToken(attempt: Attempt, cachedTokens: number): void;
  done(attempt: Attempt): void;
  /** The server went away with the attempt. */
  lost(attempt: Attempt): void;
  /** A frame stated the server's load. */
  observed(backendServer: string, tokens: number): void;
}

/**
 * @param arrival a request
 * @returns prompt and answer, the work that load counts
 */
export function workOfArrival(arrival: Arrival): number {
  return arrival.promptTokens + arrival.answerTokens;
}

/**
 * @param arrival a request
 * @returns the key of its chat in an engine's cache
 */
export function chatKeyOf(arrival: Arrival): string {
  return `${arrival.workspace}\u0000${arrival.chat}`;
}

/** One way between two processes, milliseconds. */
export const HOP_MS = 1;
